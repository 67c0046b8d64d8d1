package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
)

const (
	// copyAfter is the share of a task's estimate after which its progress is
	// judged; earlier the percentage is too coarse.
	copyAfter = 0.5
	// copyFactor is how many estimates the rest of a run must take for a copy
	// to pay off; the copy itself takes one.
	copyFactor = 1.5
	// copyCheckInterval is the time between two checks for runs to copy, which visit the
	// tasks of all open jobs. Reports, by which a run is judged, come less often.
	copyCheckInterval = 50 * time.Millisecond
)

// copySlowRuns starts a second run of speculative tasks whose first run is far
// behind, as on a slow worker. The first to finish counts.
func (c *cycle) copySlowRuns() {
	if c.s.cfg.Disabled.Has(mechanism.SpeculativeRuns) || c.now.Sub(c.s.copiesCheckedAt) < copyCheckInterval {
		return
	}
	c.s.copiesCheckedAt = c.now
	for _, j := range c.s.open {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.spec.Speculative && st.blockedBy == 0 && st.unfinishedTasks > 0 {
					c.copyStep(st)
				}
			}
		}
	}
}

func (c *cycle) copyStep(st *step) {
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || t.crashed() || len(t.runs) != 1 || t.runs[0].phase != running || !c.behind(t.runs[0]) {
			continue
		}
		first := t.runs[0].worker
		w := c.choose(t, func(w *worker) bool { return w != first && !w.pace.Slow() })
		if w == nil {
			return
		}
		c.s.nextRun++
		c.s.Stats.Copies++
		if first.pace.Slow() {
			c.s.Stats.SlowCopies++
		}
		c.start(t, w, c.s.nextRun)
	}
}

// behind reports whether the rest of a run is expected to take longer than a
// copy. That is assumed of a run on a suspected worker. If the speed of workers is
// tracked, the normal run time of the step's tasks takes the place of the declared one, and
// a run on a slow worker is judged by the worker's factor, from its start.
func (c *cycle) behind(r *run) bool {
	estimate := r.task.step.spec.Estimate
	if c.s.pace != nil {
		estimate = c.s.normalTime(c.now, r.task.step)
		if estimate > 0 && r.worker.pace.Slow() && !r.worker.suspected {
			_, remaining := c.s.remaining(c.now, r)
			return remaining > time.Duration(copyFactor*float64(estimate))
		}
	}
	elapsed := c.now.Sub(r.startedAt)
	if estimate == 0 || elapsed < time.Duration(copyAfter*float64(estimate)) {
		return false
	}
	if r.worker.suspected {
		return true
	}
	percent := max(r.percent, 1)
	remaining := elapsed * time.Duration(100-percent) / time.Duration(percent)
	return remaining > time.Duration(copyFactor*float64(estimate)) && elapsed > estimate
}
