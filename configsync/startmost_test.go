package configsync

import (
	"testing"
	"time"
)

// TestStartWithMostHosts checks when a host may start although not all its peers have
// answered, and with which version.
func TestStartWithMostHosts(t *testing.T) {
	began := time.Unix(100, 0)
	settled := began.Add(startDelay)
	confirmed := Report{InForce: 1, Held: 1, Confirmed: true}
	pending := Report{InForce: 1, Held: 2, Confirmed: true}
	peers := []string{"a", "b", "c", "d"}
	for _, c := range []struct {
		name    string
		answers map[string]Report
		asked   time.Time
		want    uint64
		ok      bool
	}{
		{"half of the hosts", map[string]Report{"a": confirmed, "b": confirmed}, settled, 0, false},
		{"most hosts", map[string]Report{"a": confirmed, "b": confirmed, "c": confirmed}, settled, 1, true},
		{"one of them knows that it is confirmed", map[string]Report{"a": has(1), "b": confirmed, "c": has(1)}, settled, 1, true},
		{"none of them knows", map[string]Report{"a": has(1), "b": has(1), "c": has(1)}, settled, 0, false},
		{"one has a newer one that isn't in force", map[string]Report{"a": confirmed, "b": pending, "c": confirmed}, settled, 2, true},
		{"one has a newer one in force that isn't confirmed", map[string]Report{"a": confirmed, "b": has(2), "c": confirmed}, settled, 0, false},
		{"the process has just begun", map[string]Report{"a": confirmed, "b": confirmed, "c": confirmed}, began, 0, false},
		{"questions before startDelay", map[string]Report{"a": confirmed, "b": confirmed, "c": confirmed}, settled.Add(-1), 0, false},
		{"a peer's list is longer", map[string]Report{"a": confirmed, "b": confirmed, "c": {InForce: 1, Held: 1, Hosts: 6}}, settled, 0, false},
	} {
		var s Startup
		s.Begin(began)
		for peer, r := range c.answers {
			s.Record(peer, r, c.asked)
		}
		now := c.asked
		if now.Before(settled) && now.After(began) {
			now = settled
		}
		if _, version, ok := s.Newest(peers, now); version != c.want || ok != c.ok {
			t.Errorf("%s: version %d, %v; want %d, %v", c.name, version, ok, c.want, c.ok)
		}
	}
}
