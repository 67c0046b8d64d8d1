package dispatch

import (
	"slices"
	"time"
)

// WithdrawStarts withdraws all starts that wait to be sent, and releases their runs.
func (s *State) WithdrawStarts(now time.Time) {
	for _, w := range s.byID() {
		s.withdrawStarts(now, w)
	}
}

// withdrawStarts withdraws the starts of a worker that wait to be sent, and releases
// their runs. It returns their number.
func (s *State) withdrawStarts(now time.Time, w *worker) int {
	withdrawn := 0
	for _, r := range slices.Clone(w.runsByNumber) {
		if r.phase == ordered && r.withdraw() {
			s.releaseRun(now, r, NotSent)
			withdrawn++
		}
	}
	return withdrawn
}
