package integration

import (
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/ownership"
)

// Until waits until a condition holds, and fails the test after Patience.
func (s *Site) WaitUntil(what string, holds func() bool) {
	s.t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	timeout := time.NewTimer(ConditionTimeout)
	defer timeout.Stop()
	for !holds() {
		select {
		case <-timeout.C:
			s.t.Fatalf("not in time: %s", what)
		case <-ticker.C:
		}
	}
}

// WaitShardsHeld waits until every shard is held in full by the hosts that are up,
// and all of them are ready.
func (s *Site) WaitShardsHeld() {
	s.t.Helper()
	s.WaitUntil("all shards held in full", func() bool {
		held := s.HeldShards()
		return held > 0 && held == s.shards() && s.allReady()
	})
}

// Held counts the shards of endpoints and workers that are held in full by
// the hosts that are up.
func (s *Site) HeldShards() int {
	n := 0
	for _, h := range s.Hosts {
		n += s.ShardsHeldBy(h, "")
	}
	return n
}

// ShardsHeldBy counts the shards with a prefix, such as "ep/", that a host may use
// in full.
func (s *Site) ShardsHeldBy(h *Host, prefix string) int {
	if !h.up() {
		return 0
	}
	status, err := h.Status()
	if err != nil {
		return 0
	}
	n := 0
	for _, l := range status.Leases {
		if strings.HasPrefix(l.Shard, prefix) && l.Share == ownership.Full.String() {
			n++
		}
	}
	return n
}

// shards returns how many shards the hosts' settings and members give, 0
// until that is known.
func (s *Site) shards() int {
	list, err := s.MemberList()
	if err != nil {
		return 0
	}
	return len(shardsOf(s.Hosts[0].settings.Lease, list))
}

func (s *Site) allReady() bool {
	for _, h := range s.Hosts {
		if h.up() && !h.Ready() {
			return false
		}
	}
	return true
}

// watch records which configuration a host reports, as an operator would see
// it, until the site ends. A host that is not up has none.
func (s *Site) watch(h *Host) {
	const interval = 100 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	seen := false
	for {
		status, err := h.Status()
		switch {
		case err == nil && status.State == "starting":
			// It has none in force yet and takes no request.
		case err == nil:
			seen = true
			s.Recorder.Add(check.Record{ConfigInForce: &check.ConfigInForce{Host: h.Name, Version: uint64(status.ConfigVersion)}})
		case seen && !h.up():
			seen = false
			s.Recorder.Add(check.Record{ConfigHostEnded: &check.ConfigHostEnded{Host: h.Name}})
		}
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}
