package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
)

const (
	// copyAfter is the share of a task's estimate after which its progress is
	// judged; earlier the percent is too coarse.
	copyAfter = 0.5
	// copyFactor is how many estimates the rest of a run must still take for
	// a copy elsewhere to pay: the copy takes one itself.
	copyFactor = 1.5
)

// copySlow starts second runs of speculative tasks whose first run is far
// behind, as on a slow worker. The first to finish counts.
func (c *cycle) copySlow() {
	if c.s.cfg.Disabled.Has(mechanism.SpeculativeRuns) {
		return
	}
	for _, j := range c.s.open {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.spec.Speculative && st.blockedBy == 0 && st.undone > 0 {
					c.copyStep(st)
				}
			}
		}
	}
}

// copyStep starts copies for one step.
func (c *cycle) copyStep(st *step) {
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || len(t.runs) != 1 || t.runs[0].phase != running || !c.behind(t.runs[0]) {
			continue
		}
		first := t.runs[0].worker
		w := c.choose(t, func(w *worker) bool { return w != first })
		if w == nil {
			return
		}
		c.s.nextRun++
		c.s.Stats.Copies++
		c.start(t, w, c.s.nextRun)
	}
}

// behind reports whether the rest of a run will take longer than a copy.
func (c *cycle) behind(r *run) bool {
	estimate := r.task.step.spec.Estimate
	passed := c.now.Sub(r.since)
	if estimate == 0 || passed < time.Duration(copyAfter*float64(estimate)) {
		return false
	}
	if r.worker.silent {
		return true
	}
	percent := max(r.percent, 1)
	rest := passed * time.Duration(100-percent) / time.Duration(percent)
	return rest > time.Duration(copyFactor*float64(estimate)) && passed > estimate
}
