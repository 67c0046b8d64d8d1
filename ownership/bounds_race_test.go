//go:build race

package ownership

import "testing"

// TestBoundsHoldUnderRace runs the first seeds of TestBoundsHold with the race
// detector.
func TestBoundsHoldUnderRace(t *testing.T) {
	const runs = 40
	for _, c := range simulateAll(runs, flaws{}, false) {
		if c.violation != "" {
			t.Error(c.violation)
		}
	}
}
