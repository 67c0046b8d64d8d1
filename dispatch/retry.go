package dispatch

import "time"

// fullRetryInterval is how often a step that fits nowhere is compared with all
// workers. In between, only workers that have changed since are considered. It
// bounds how late other causes are noticed, such as a lower load of a run.
const fullRetryInterval = 150 * time.Millisecond

// markChanged records a change at the worker that may let a task fit there, and
// drops the worker's cached load.
func (s *State) markChanged(w *worker) {
	s.changeCount++
	w.lastChange, w.load = s.changeCount, nil
}

// triedSince returns the change count of the step's last attempt: only workers
// whose last change has at least this count need be considered. It is 0, for all
// workers, once per fullRetryInterval.
func (c *cycle) triedSince(st *step) uint64 {
	if c.now.Sub(st.allTriedAt) >= fullRetryInterval {
		return 0
	}
	return st.triedAtChange
}

// recordTried records that a task of the step fits on none of the workers whose
// last change has at least the count since, 0 for all workers.
func (c *cycle) recordTried(st *step, since uint64) {
	if c.checkPending {
		return // it may fit on a worker that hasn't answered lately
	}
	if since == 0 {
		st.allTriedAt = c.now
	}
	st.triedAtChange = c.s.changeCount + 1
	c.recordNoFit(st)
}
