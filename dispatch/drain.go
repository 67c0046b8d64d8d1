package dispatch

import "time"

// leaveMargin is how long before a draining worker may leave that the tasks
// it won't finish are stopped, so that their progress is saved.
const leaveMargin = 700 * time.Millisecond

// drain moves tasks off draining workers. Long-running ones go at once: they
// never finish there. Others may finish; those that save progress are stopped
// just before the worker may leave.
func (s *State) drain(now time.Time) {
	for _, w := range s.workers {
		if !w.info.Draining {
			continue
		}
		leaving := !now.Before(w.drainingAt.Add(w.info.LeavesIn - leaveMargin))
		for _, r := range w.runs {
			if r.phase != running {
				continue
			}
			spec := r.task.step.spec
			if spec.LongRunning || (leaving && spec.Checkpointing) {
				s.Stats.Evictions++
				s.stop(now, r, WorkerDraining)
			}
		}
	}
}
