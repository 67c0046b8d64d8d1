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
	candidates.Observe("weak", "zone", 0.2, 1*s)
	candidates.Observe("strong", "zone", 0.8, 2*s)
	candidates.Observe("also", "zone", 0.8, 3*s)
	candidates.Observe("strong", "zone", 0.8, 3*s)
	candidates.Observe("weak", "zone", 0.2, 3*s)
	expect(4*s, 0.8, 2*s)
	candidates.Observe("strong", "zone", 0, 4*s) // the host is stopping
	expect(4*s, 0.8, 1*s)
	candidates.Observe("weak", "zone", 0.2, 5*s)
	expect(6*s, 0.2, 5*s) // "also" stopped pinging
	candidates.Observe("weak", "zone", 0.2, 7*s)
	candidates.Observe("also", "zone", 0.8, 7*s)
	expect(8*s, 0.8, 1*s) // "also" counts as available since its pings resumed
	expect(20*s, 0, 0)
}
