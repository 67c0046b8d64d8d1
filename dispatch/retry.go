package dispatch

import "time"

// retryAll is how often a step that fits nowhere is weighed against all
// workers. In between only those are considered where something has changed
// since: a report, an end, a stop. It bounds how late the rest is noticed, such
// as a task's own load that has fallen. With 3,000 tasks of fillers waiting on
// 490 workers a cycle takes a sixth of the time (BenchmarkPlanFillers).
const retryAll = 150 * time.Millisecond

// changed notes that something at the worker may let a task fit there.
func (s *State) changed(w *worker) {
	s.changes++
	w.changed, w.view = s.changes, nil
}

// triedSince returns the count of changes since which workers must have changed
// to be considered for a step, 0 for all workers.
func (c *cycle) triedSince(st *step) uint64 {
	if c.now.Sub(st.allTriedAt) >= retryAll {
		return 0
	}
	return st.tried
}

// noteTried notes that a task of the step fits on none of the workers that have
// changed since.
func (c *cycle) noteTried(st *step, since uint64) {
	if since == 0 {
		st.allTriedAt = c.now
	}
	st.tried = c.s.changes + 1
	c.noteNoFit(st)
}
