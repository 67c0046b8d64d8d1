package election_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
)

// TestRivals names the strongest host that is there, and forgets those that
// stop or are no longer heard of.
func TestRivals(t *testing.T) {
	var r election.Candidates
	expect := func(at time.Duration, cores float64, there time.Duration) {
		t.Helper()
		if c, d := r.Strongest(at); c != cores || d != there {
			t.Errorf("at %v: %v processors for %v, want %v for %v", at, c, d, cores, there)
		}
	}
	expect(0, 0, 0)
	const s = time.Second
	r.Observe("weak", "zone", 0.2, 1*s)
	r.Observe("strong", "zone", 0.8, 2*s)
	r.Observe("also", "zone", 0.8, 3*s)
	r.Observe("strong", "zone", 0.8, 3*s)
	r.Observe("weak", "zone", 0.2, 3*s)
	expect(4*s, 0.8, 2*s)
	r.Observe("strong", "zone", 0, 4*s) // it stops
	expect(4*s, 0.8, 1*s)
	r.Observe("weak", "zone", 0.2, 5*s)
	expect(6*s, 0.2, 5*s) // nothing heard of the other strong one
	r.Observe("weak", "zone", 0.2, 7*s)
	r.Observe("also", "zone", 0.8, 7*s)
	expect(8*s, 0.8, 1*s) // it counts from when it came back
	expect(20*s, 0, 0)
}
