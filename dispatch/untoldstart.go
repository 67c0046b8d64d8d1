package dispatch

import "slices"

// assumeStarts marks long-running tasks of an earlier owner as started that may have run on
// a lost worker, although no row tells it: that owner may have started them since its last
// commit. They count as lost tasks, which start before all other work. At most as many are
// marked, in order of acceptance, as the worker had capacity for beside the runs of which
// rows tell.
func (s *State) assumeStarts(w *worker) {
	left := w.info.Capacity
	for _, j := range s.open {
		if j.inherited {
			j.eachTask(func(t *task) {
				if slices.Contains(t.locations, w.hash) {
					left = left.Sub(t.step.spec.Reserved())
				}
			})
		}
	}
	for _, j := range s.open {
		if !j.inherited || !j.longRunning || j.queue.Pool != w.info.Pool {
			continue
		}
		j.eachTask(func(t *task) {
			if needs := t.step.spec.Reserved(); t.mayHaveStartedOn(w) && needs.Fits(left) {
				left = left.Sub(needs)
				t.started = true
			}
		})
	}
}

// mayHaveStartedOn reports whether an earlier owner may have started a long-running task on
// a worker without a row that tells it.
func (t *task) mayHaveStartedOn(w *worker) bool {
	st := t.step
	return st.spec.LongRunning && !t.started && !t.done && st.blockedBy == 0 && len(t.locations) == 0 &&
		(st.spec.Label == "" || slices.Contains(w.info.Labels, st.spec.Label))
}
