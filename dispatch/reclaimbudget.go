package dispatch

import (
	"time"
)

// reclaimBudget bounds an attempt to reclaim capacity, in thousandths of a core.
type reclaimBudget struct {
	// tasks is the number of tasks for which capacity may be reclaimed.
	tasks int
	// wanted is what is left of the claim once the runs being stopped for it have ended,
	// limit what is left of the limit per second.
	wanted, limit int64
}

// spent reports whether nothing is left to reclaim.
func (b *reclaimBudget) spent() bool { return b.tasks <= 0 || b.wanted <= 0 || b.limit <= 0 }

// reclaimable returns what may be reclaimed for a step now: for as many whole tasks as the
// claim covers. Runs are stopped until those being stopped cover the claim; the last ones may
// exceed it, since a run can't be stopped in part.
func (c *cycle) reclaimable(q *sharedQueue, st *step) reclaimBudget {
	claim, lastSecond := q.pool.Claim(q.index), int64(0)
	b := reclaimBudget{wanted: claim, tasks: int(min(claim/max(st.spec.Needs.MilliCPU, 1), int64(st.idle)))}
	for i := range c.s.reclaims {
		r := &c.s.reclaims[i]
		if r.pool == st.job.queue.Pool && c.now.Sub(r.at) < time.Second {
			lastSecond += r.milliCPU
		}
		if r.queue == st.job.queue.Name && r.stopping() {
			b.wanted -= r.milliCPU
		}
	}
	b.limit = q.pool.ReclaimLimit(lastSecond)
	return b
}
