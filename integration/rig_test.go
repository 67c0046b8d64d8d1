package integration

import (
	"strings"

	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/standin"
)

// saturated makes endpoints slow enough that saturating traffic fills every
// slot: 24 slots of 50 ms serve about 450 requests a second.
func saturated(c *standin.Config) {
	c.Services[0].Work = standin.WorkTime{MedianMS: 50, Sigma: 0.3, Seed: 1}
}

// saturating is traffic that fills every slot of a saturated site, sent to
// all hosts whatever the balancer would say.
var saturating = TrafficOptions{Rate: 600, Bookings: 0.2, Repeat: 0.3, AllHosts: true}

// owned reports whether hosts other than one hold all shards of endpoints,
// in full or by half.
func (s *Site) ownedWithout(out *Host) func() bool {
	return func() bool {
		shards := map[string]bool{}
		for _, h := range s.Hosts {
			if h == out || !h.up() {
				continue
			}
			status, err := h.Status()
			if err != nil {
				return false
			}
			for _, l := range status.Leases {
				if strings.HasPrefix(l.Shard, "ep/") && l.Share != "none" {
					shards[l.Shard] = true
				}
			}
		}
		return len(shards) == s.endpointShards()
	}
}

// endpointShards counts the shards of endpoints.
func (s *Site) endpointShards() int {
	list, err := s.MemberList()
	if err != nil {
		return -1
	}
	n := 0
	for _, shard := range shardsOf(s.Hosts[0].settings.Lease, list) {
		if strings.HasPrefix(shard, "ep/") {
			n++
		}
	}
	return n
}

// at matches exchanges with one host.
func at(h *Host) func(load.Exchange) bool {
	return func(x load.Exchange) bool { return x.Target == h.CallersURL }
}

// both matches what two conditions match.
func both(a, b func(load.Exchange) bool) func(load.Exchange) bool {
	return func(x load.Exchange) bool { return a(x) && b(x) }
}
