package dispatch

import (
	"github.com/fireflygate/fireflygate/preempt"
)

// isLent reports whether a run's queue doesn't fall below its guaranteed share without the
// run. It returns true in pools without shares.
func (c *cycle) isLent(r *run) bool {
	q := c.sharedQueueOf(r.task.step)
	return q == nil || q.pool.Lent(q.index) >= r.task.step.spec.Needs.MilliCPU
}

// nothingLent reports whether the step's pool has shares and no queue of lower priority
// uses more than its share, so that none of its runs can be preempted.
func (c *cycle) nothingLent(st *step) bool {
	q := c.sharedQueueOf(st)
	if q == nil {
		return false
	}
	for i := range q.pool.Queues {
		other, known := c.s.queues[q.pool.Queues[i].Name]
		if (!known || other.Priority > st.job.queue.Priority) && q.pool.Lent(i) > 0 && q.pool.Queues[i].Reclaimable > 0 {
			return false
		}
	}
	return true
}

// allLent reports whether no queue falls below its guaranteed share without all of the
// victims. It returns true in pools without shares.
func (c *cycle) allLent(w *worker, victims []preempt.Victim) bool {
	if c.shares[w.info.Pool] == nil {
		return true
	}
	lent := true
	for _, v := range victims {
		lent = lent && c.isLent(w.runsByNumber[v.ID])
		c.countStopped(w.runsByNumber[v.ID])
	}
	for _, v := range victims {
		c.countUse(w.runsByNumber[v.ID], 1)
	}
	return lent
}

// recordPreempted records runs on a worker that are stopped for a queue of higher
// priority.
func (c *cycle) recordPreempted(w *worker, runs []*run) {
	if c.shares[w.info.Pool] == nil {
		return
	}
	c.s.reclaims = append(c.s.reclaims, reclaimed{at: c.now, worker: w, runs: runs, pool: w.info.Pool})
	for _, r := range runs {
		c.countStopped(r)
	}
}

// countStopped subtracts a run that is being stopped from what its queue uses.
func (c *cycle) countStopped(r *run) { c.countUse(r, -1) }

// countUse adds n times what a run requests to what its queue uses.
func (c *cycle) countUse(r *run, n int64) {
	if q := c.sharedQueueOf(r.task.step); q != nil {
		q.pool.Reclaimed(q.index, -n*r.task.step.spec.Needs.MilliCPU)
	}
}
