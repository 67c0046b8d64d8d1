package dispatch

import (
	"cmp"
	"slices"

	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/preempt"
)

const (
	// reclaimAttemptsPerCycle bounds the attempts of a cycle to reclaim lent capacity,
	// each of which visits every run of the pool.
	reclaimAttemptsPerCycle = 1
	// maxFitChecks bounds the workers of an attempt on which it is checked, with the runs
	// to be stopped left out, that a task fits.
	maxFitChecks = 32
)

// reclaim stops runs of queues above their shares, for tasks of a step that fit nowhere
// although its queue is below its share. It returns false if it stops none.
func (c *cycle) reclaim(st *step) bool {
	q := c.sharedQueueOf(st)
	if q == nil || c.s.cfg.Disabled.Has(mechanism.Preemption) || c.s.commitOverdue || c.reclaimAttempts >= reclaimAttemptsPerCycle {
		return false
	}
	cl := c.s.claims[st.job.queue.Name]
	if cl == nil || c.now.Sub(cl.since) < preemptAfter || c.now.Before(cl.nextReclaim) || c.now.Before(st.nextReclaim) {
		return false
	}
	b := c.reclaimable(q, st)
	if b.spent() {
		return false
	}
	c.reclaimAttempts++
	cl.nextReclaim = c.now.Add(preemptRetryInterval)
	found := false
	for _, loan := range q.pool.Loans() {
		if loan.Queue != q.index && !b.spent() && c.reclaimFrom(st, q.pool.queues[loan.Queue], loan.MilliCPU, &b) {
			found = true
		}
	}
	if !found {
		st.nextReclaim = c.now.Add(preemptWait) // meanwhile other steps of the queue are tried
	}
	return found
}

// reclaimFrom stops runs of a queue that together request at most loan. For each task of the
// step it stops runs on one worker, first where the least work is lost. It returns false if
// it stops none.
func (c *cycle) reclaimFrom(st *step, lender *sharedQueue, loan int64, b *reclaimBudget) bool {
	buffer := &c.s.reclaimBuffer
	buffer.candidates = buffer.candidates[:0]
	for _, w := range c.workers {
		if c.reserved[w.index] || !c.allowed(st, w) || c.atPerWorkerLimit(st, w) {
			continue
		}
		chosen, loss, ok := c.chooseReclaimed(st, w, lender)
		if ok && len(chosen) > 0 && requested(w, chosen) <= min(loan, b.limit) {
			buffer.candidates = append(buffer.candidates, reclaimCandidate{w, loss})
		}
	}
	slices.SortStableFunc(buffer.candidates, func(x, y reclaimCandidate) int { return cmp.Compare(x.loss, y.loss) })
	found := false
	for i, candidate := range buffer.candidates {
		if b.spent() || i == maxFitChecks {
			break
		}
		chosen, _, _ := c.chooseReclaimed(st, candidate.w, lender)
		milliCPU := requested(candidate.w, chosen)
		if milliCPU > min(loan, b.limit) || !c.fitsWithout(st, candidate.w, chosen) {
			continue
		}
		c.stopReclaimed(st, candidate.w, chosen, milliCPU)
		b.tasks, b.wanted, b.limit, loan = b.tasks-1, b.wanted-milliCPU, b.limit-milliCPU, loan-milliCPU
		found = true
	}
	return found
}

// chooseReclaimed returns the runs of a queue on a worker that must be stopped for a task
// of the step. As best-effort tasks reserve no processors, requested ones are compared for
// these.
func (c *cycle) chooseReclaimed(st *step, w *worker, lender *sharedQueue) ([]preempt.Victim, int64, bool) {
	b := &c.s.reclaimBuffer
	b.victims = b.victims[:0]
	for i, r := range w.runsByNumber {
		spec := r.task.step.spec
		if r.phase != running || spec.LongRunning || spec.Gang || r.task.step.job.shared != lender {
			continue
		}
		reserved := r.reserved
		if st.spec.BestEffort {
			reserved.MilliCPU = spec.Needs.MilliCPU
		}
		b.victims = append(b.victims, preempt.Victim{ID: i, Reserved: reserved, LostWork: r.unsavedWork(c.now)})
	}
	if len(b.victims) == 0 {
		return nil, 0, false
	}
	needs, free := st.spec.Needs, w.free
	if st.spec.BestEffort {
		free.MilliCPU = 0
	}
	return b.chooser.Choose(needs, free, b.victims)
}

// requested returns the processors that runs on a worker request, in thousandths of a
// core.
func requested(w *worker, victims []preempt.Victim) int64 {
	var sum int64
	for _, v := range victims {
		sum += w.runsByNumber[v.ID].task.step.spec.Needs.MilliCPU
	}
	return sum
}

// fitsWithout reports whether a task of the step fits on a worker without some of its
// runs.
func (c *cycle) fitsWithout(st *step, w *worker, victims []preempt.Victim) bool {
	runs := runsOf(w, victims)
	for _, r := range runs {
		w.removeRun(r)
	}
	fits := c.fits(st, w)
	if fits {
		_, fits = c.impact(st, w)
	}
	for _, r := range runs {
		w.addRun(r)
	}
	return fits
}

// runsOf returns the runs of victims on a worker.
func runsOf(w *worker, victims []preempt.Victim) []*run {
	runs := make([]*run, 0, len(victims))
	for _, v := range victims {
		runs = append(runs, w.runsByNumber[v.ID])
	}
	return runs
}

// stopReclaimed stops runs on a worker for a task of the step.
func (c *cycle) stopReclaimed(st *step, w *worker, victims []preempt.Victim, milliCPU int64) {
	runs := runsOf(w, victims)
	c.reserved[w.index] = true // without reservedCount
	c.s.reclaims = append(c.s.reclaims, reclaimed{
		at: c.now, worker: w, runs: runs, pool: st.job.queue.Pool, queue: st.job.queue.Name,
		milliCPU: milliCPU,
	})
	c.s.Stats.ReclaimedMilliCPU += uint64(milliCPU) //nolint:gosec // not negative
	for _, r := range runs {
		c.s.Stats.Reclaimed++
		c.s.orderStop(c.now, r, Reclaimed)
		c.countStopped(r)
	}
}
