package integration

import (
	"strings"

	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/standin"
)

// slowEndpoints makes requests take about 50 ms, so that saturatingTraffic, at 600
// requests per second, occupies all 24 slots.
func slowEndpoints(c *standin.Config) {
	c.Services[0].Work = standin.WorkTime{MedianMS: 50, Sigma: 0.3, Seed: 1}
}

// saturatingTraffic occupies every slot of a site with slowEndpoints. It goes to
// all hosts, whether ready or not.
var saturatingTraffic = TrafficOptions{Rate: 600, Bookings: 0.2, Repeat: 0.3, AllHosts: true}

// endpointsOwnedWithout returns a condition: running hosts other than excluded hold
// all endpoint shards, in full or by half.
func (s *Site) endpointsOwnedWithout(excluded *Host) func() bool {
	return func() bool {
		shards := map[string]bool{}
		for _, h := range s.Hosts {
			if h == excluded || !h.up() {
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

// endpointShards returns the number of endpoint shards, -1 if the membership list
// is unavailable.
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

// at matches exchanges with the given host.
func at(h *Host) func(load.Exchange) bool {
	return func(x load.Exchange) bool { return x.Target == h.CallersURL }
}

// both matches exchanges that a and b both match.
func both(a, b func(load.Exchange) bool) func(load.Exchange) bool {
	return func(x load.Exchange) bool { return a(x) && b(x) }
}
