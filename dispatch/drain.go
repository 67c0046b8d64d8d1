package dispatch

import (
	"slices"
	"time"
)

// drainStopMargin is how long before a draining worker's departure its
// unfinished tasks are stopped, so that their checkpoints are saved.
const drainStopMargin = 700 * time.Millisecond

// drain moves tasks off draining workers. Long-running ones are stopped at
// once, since they never finish there. Others may finish; those that save
// checkpoints are stopped just before the worker may leave.
func (s *State) drain(now time.Time) {
	for _, w := range s.byID() {
		if !w.info.Draining {
			continue
		}
		leavesSoon := !now.Before(w.drainingAt.Add(w.info.LeavesIn - drainStopMargin))
		for _, r := range slices.Clone(w.runsByNumber) {
			if r.phase != running {
				continue
			}
			spec := r.task.step.spec
			if spec.LongRunning || (leavesSoon && spec.Checkpointing) {
				s.Stats.Evictions++
				s.orderStop(now, r, WorkerDraining)
			}
		}
	}
}
