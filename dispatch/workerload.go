package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/colocate"
)

// workerLoad caches what planning derives from a worker's runs. It is valid
// until something changes there, and for loadCacheTTL at most.
type workerLoad struct {
	w                   *worker
	computedAt          time.Time
	serving, bestEffort int
	// byClass counts serving runs by class.
	byClass   map[string]int
	unusedCPU int64
	// budgets holds the slack that the serving tasks can give up.
	budgets []colocate.SlackBudget
	// demand is the share of the best-effort demand that suits this worker and
	// doesn't suit all workers.
	demand float64
}

// stepKind groups steps that differ only in size for placement.
type stepKind struct {
	image, pool, label string
	bestEffort         bool
}

// kind returns the step's kind, false if its placement depends on more than
// that.
func (s *step) kind() (stepKind, bool) {
	if s.class != "" || s.spec.MaxPerWorker > 0 || s.spec.Gang || s.job.queue.NeedsPermit {
		return stepKind{}, false
	}
	k := stepKind{pool: s.job.queue.Pool, label: s.spec.Label, bestEffort: s.spec.BestEffort}
	if k.bestEffort {
		k.image = s.spec.Image
	}
	return k, true
}

// knownNotToFit reports whether a step of the same kind that needs no more has
// already fitted nowhere in this cycle.
func (c *cycle) knownNotToFit(st *step) bool {
	k, ok := st.kind()
	if !ok {
		return false
	}
	for _, needs := range c.noFit[k] {
		if needs.Fits(st.spec.Needs) {
			return true
		}
	}
	return false
}

// recordNoFit records that the step fits nowhere in this cycle.
func (c *cycle) recordNoFit(st *step) {
	if k, ok := st.kind(); ok {
		c.noFit[k] = append(c.noFit[k], st.spec.Needs)
	}
}

// loadCacheTTL bounds how late a workerLoad reflects effects of time alone,
// such as a best-effort run that becomes settled.
const loadCacheTTL = 200 * time.Millisecond

// load returns the worker's cached load, computed again if it is outdated.
func (c *cycle) load(w *worker) *workerLoad {
	l := w.load
	if l == nil || c.now.Sub(l.computedAt) >= loadCacheTTL {
		l = &workerLoad{w: w, computedAt: c.now, unusedCPU: w.unusedCPU(c.now)}
		l.serving, l.bestEffort, l.byClass = w.counts.serving, w.counts.bestEffort, w.counts.byClass
		l.demand = c.demand.share(c.s, l.byClass)
		w.load = l
	}
	return l
}

// impactOf returns the impact of one more best-effort task of the step at a CPU limit.
func (l *workerLoad) impactOf(c *cycle, st *step, cpuLimit int) colocate.Impact {
	if l.budgets == nil {
		l.budgets = c.s.model.SlackBudgets(c.now, &c.s.colocation(c.now, l.w).Worker)
	}
	share := float64(st.spec.Needs.MilliCPU) / float64(max(l.w.info.Capacity.MilliCPU, 1)) * float64(cpuLimit) / fullCPU
	return c.s.model.ImpactOf(l.budgets, st.spec.Image, share)
}
