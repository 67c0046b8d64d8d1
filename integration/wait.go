package integration

import (
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/ownership"
)

// WaitUntil waits until a condition holds. It ends the test as failed after
// ConditionTimeout.
func (s *Site) WaitUntil(description string, condition func() bool) {
	s.t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	timeout := time.NewTimer(ConditionTimeout)
	defer timeout.Stop()
	for !condition() {
		select {
		case <-timeout.C:
			s.t.Fatalf("timed out waiting for: %s", description)
		case <-ticker.C:
		}
	}
}

// WaitShardsHeld waits until the running hosts hold every shard in full and are all
// ready.
func (s *Site) WaitShardsHeld() {
	s.t.Helper()
	s.WaitUntil("all shards held in full", func() bool {
		held := s.HeldShards()
		return held > 0 && held == s.shards() && s.allReady()
	})
}

// HeldShards returns the number of shards that running hosts hold in full.
func (s *Site) HeldShards() int {
	n := 0
	for _, h := range s.Hosts {
		n += s.ShardsHeldBy(h, "")
	}
	return n
}

// ShardsHeldBy returns the number of shards that a host holds in full and whose
// names begin with prefix, such as "ep/". It returns 0 for a host that is not up.
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

// shards returns the number of shards for the current membership list, 0 if the
// list is unavailable.
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

// watchConfig records the configuration version that a host reports, and the end
// of its process, until the site stops.
func (s *Site) watchConfig(h *Host) {
	const interval = 100 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	seen := false
	for {
		status, err := h.Status()
		switch {
		case err == nil && status.State == "starting":
			// No version is in force yet, and the host accepts no requests.
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
