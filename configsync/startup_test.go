package configsync

import (
	"testing"
	"time"
)

// TestStartNeedsAllPeers checks which version a host may start with, and when it must
// wait.
func TestStartNeedsAllPeers(t *testing.T) {
	now := time.Unix(100, 0)
	peers := []string{"a", "b", "c"}
	type answer struct {
		peer    string
		version uint64
		age     time.Duration
	}
	for _, c := range []struct {
		name    string
		peers   []string
		answers []answer
		want    uint64
		ok      bool
	}{
		{"no peers", nil, nil, 0, false},
		{"most peers", peers, []answer{{"a", 1, 0}, {"b", 1, 0}}, 0, false},
		{"all peers, one is newer", peers, []answer{{"a", 1, 0}, {"b", 2, 0}, {"c", 1, 0}}, 2, true},
		{"an answer that is no longer valid", peers, []answer{{"a", 1, 0}, {"b", 1, answerValidity + 1}, {"c", 1, 0}}, 0, false},
		{"a peer that was removed", []string{"a", "c"}, []answer{{"a", 1, 0}, {"b", 2, 0}, {"c", 1, 0}}, 1, true},
		{"no version was ever accepted", peers, []answer{{"a", 0, 0}, {"b", 0, 0}, {"c", 0, 0}}, 0, true},
	} {
		var s Startup
		for _, a := range c.answers {
			s.Record(a.peer, has(a.version), now.Add(-a.age))
		}
		if _, version, ok := s.Newest(c.peers, now); version != c.want || ok != c.ok {
			t.Errorf("%s: version %d, %v; want %d, %v", c.name, version, ok, c.want, c.ok)
		}
	}
}

// TestStartTakesNothingOlderThanAccepted checks that a host doesn't start with an older
// version than one that the store is known to have accepted.
func TestStartTakesNothingOlderThanAccepted(t *testing.T) {
	now := time.Unix(100, 0)
	peers := []string{"a", "b"}
	for accepted, want := range []bool{true, true, true, false} {
		var s Startup
		s.Accept(uint64(accepted))
		s.Accept(0) // an older answer that came late
		s.Record("a", has(1), now)
		s.Record("b", has(2), now)
		if _, version, ok := s.Newest(peers, now); ok != want || ok && version != 2 {
			t.Errorf("version %d was accepted: got version %d, %v; want 2, %v", accepted, version, ok, want)
		}
	}
}

// TestStartDoubtsIncompleteList checks that a host doesn't rely on all peers of its own
// membership list if a peer's list is longer.
func TestStartDoubtsIncompleteList(t *testing.T) {
	now := time.Unix(100, 0)
	for hosts, want := range map[int]bool{0: true, 2: true, 3: true, 4: false} {
		var s Startup
		s.Begin(now)
		s.Record("a", has(1), now)
		s.Record("b", Report{InForce: 1, Held: 1, Hosts: hosts}, now)
		if _, _, ok := s.Newest([]string{"a", "b"}, now); ok != want {
			t.Errorf("a peer lists %d hosts: may start %v, want %v", hosts, ok, want)
		}
	}
}

// has returns the report of a host with a version in force.
func has(version uint64) Report { return Report{InForce: version, Held: version} }
