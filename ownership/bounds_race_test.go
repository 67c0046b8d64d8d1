//go:build race

package ownership

import "testing"

// TestBoundsHoldUnderRace runs the first seeds of TestBoundsHold with the race
// detector.
func TestBoundsHoldUnderRace(t *testing.T) {
	const runs = 40
	for _, w := range simulateAll(runs, flaws{}, false) {
		if w.wrong != "" {
			t.Error(w.wrong)
		}
	}
}
