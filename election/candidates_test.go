package election_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
)

// TestCandidates checks that Strongest ignores hosts that are stopping or no
// longer ping.
func TestCandidates(t *testing.T) {
	var candidates election.Candidates
	expect := func(at time.Duration, cores float64, seenFor time.Duration) {
		t.Helper()
		if c, d := candidates.Strongest(at); c != cores || d != seenFor {
			t.Errorf("at %v: strongest host has %v processors, seen for %v; want %v for %v", at, c, d, cores, seenFor)
		}
	}
	expect(0, 0, 0)
	const s = time.Second
	candidates.Observe(election.Candidate{Address: "weak", Zone: "zone", Cores: 0.2}, 1*s)
	candidates.Observe(election.Candidate{Address: "strong", Zone: "zone", Cores: 0.8}, 2*s)
	candidates.Observe(election.Candidate{Address: "also", Zone: "zone", Cores: 0.8}, 3*s)
	candidates.Observe(election.Candidate{Address: "strong", Zone: "zone", Cores: 0.8}, 3*s)
	candidates.Observe(election.Candidate{Address: "weak", Zone: "zone", Cores: 0.2}, 3*s)
	expect(4*s, 0.8, 2*s)
	candidates.Observe(election.Candidate{Address: "strong", Zone: "zone", Cores: 0}, 4*s) // the host is stopping
	expect(4*s, 0.8, 1*s)
	candidates.Observe(election.Candidate{Address: "weak", Zone: "zone", Cores: 0.2}, 5*s)
	expect(6*s, 0.2, 5*s) // "also" stopped pinging
	candidates.Observe(election.Candidate{Address: "weak", Zone: "zone", Cores: 0.2}, 7*s)
	candidates.Observe(election.Candidate{Address: "also", Zone: "zone", Cores: 0.8}, 7*s)
	expect(8*s, 0.8, 1*s) // "also" counts as available since its pings resumed
	expect(20*s, 0, 0)
}

// TestRestartingCandidate guards against a handover to a host that keeps ending soon after
// its start: its processes together were available for long, none of them was.
func TestRestartingCandidate(t *testing.T) {
	const s = time.Second
	var candidates election.Candidates
	for life := range uint64(5) {
		at := time.Duration(life) * s
		candidates.Observe(election.Candidate{Address: "a", Cores: 0.8, Life: life + 1}, at)
	}
	if _, seenFor := candidates.Strongest(4*s + s/2); seenFor != s/2 {
		t.Errorf("a host that has just started again counts as available for %v, want %v", seenFor, s/2)
	}
	candidates.Observe(election.Candidate{Address: "a", Cores: 0, Life: 4}, 4*s+s/2)
	if cores, _ := candidates.Strongest(4*s + s/2); cores != 0.8 {
		t.Error("a late ping of a process that was stopping removes the one that follows it")
	}
	candidates.Observe(election.Candidate{Address: "a", Cores: 0, Life: 5}, 5*s)
	if cores, _ := candidates.Strongest(5 * s); cores != 0 {
		t.Error("a host that is stopping counts as available")
	}
}
