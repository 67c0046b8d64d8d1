package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/preempt"
)

const (
	// preemptAfter is how long a step waits for capacity to free up by itself
	// before it preempts other runs.
	preemptAfter = 150 * time.Millisecond
	// preemptWait is how long a step waits for the capacity of its victims
	// before it preempts again.
	preemptWait = time.Second
	// preemptRetryInterval is the minimum time between two attempts for a step,
	// and preemptAttemptsPerCycle bounds the attempts of a cycle, each of which
	// visits every run of the pool.
	preemptRetryInterval    = 100 * time.Millisecond
	preemptAttemptsPerCycle = 2
)

// freeUpCapacity stops runs of lower-priority queues on one worker and reserves
// that worker for a task of a step that fits nowhere. It does so only once the
// step has waited for preemptAfter.
func (c *cycle) freeUpCapacity(st *step) {
	if st.blockedSince.IsZero() {
		st.blockedSince = c.now
	}
	if c.reclaim(st) {
		return
	}
	if c.s.cfg.Disabled.Has(mechanism.Preemption) || st.spec.BestEffort || c.preemptAttempts >= preemptAttemptsPerCycle || c.now.Sub(st.blockedSince) < preemptAfter ||
		c.now.Before(st.nextPreempt) || c.nothingLent(st) {
		return
	}
	c.preemptAttempts++
	st.nextPreempt = c.now.Add(preemptRetryInterval)
	var best []preempt.Victim
	var at *worker
	var leastLoss int64
	needs := st.spec.Reserved()
	for _, w := range c.workers {
		if c.reserved[w.index] || !needs.Fits(w.eventuallyFree()) || !c.allowed(st, w) || c.atPerWorkerLimit(st, w) {
			continue
		}
		c.visits++
		chosen, loss, ok := c.s.preemptBuffer.chooser.Choose(needs, w.free, c.victims(st, w))
		if ok && len(chosen) > 0 && c.allLent(w, chosen) && (at == nil || loss < leastLoss) {
			best, at, leastLoss = append(best[:0], chosen...), w, loss
		}
	}
	if at == nil {
		return
	}
	st.nextPreempt = c.now.Add(preemptWait)
	c.reserveWorker(at)
	runs := runsOf(at, best)
	c.recordPreempted(at, runs)
	for _, r := range runs {
		c.s.Stats.Preempted++
		c.s.orderStop(c.now, r, Preempted)
	}
}

// victims returns the runs on a worker that the step may preempt: those of
// lower-priority queues that are neither long-running nor part of a gang. The result is
// valid until the next call.
func (c *cycle) victims(st *step, w *worker) []preempt.Victim {
	all := c.s.preemptBuffer.victims[:0]
	for i, r := range w.runsByNumber {
		spec := r.task.step.spec
		if r.phase != running || spec.LongRunning || spec.Gang ||
			r.task.step.job.queue.Priority <= st.job.queue.Priority || !c.isLent(r) {
			continue
		}
		all = append(all, preempt.Victim{ID: i, Reserved: r.reserved, LostWork: r.unsavedWork(c.now)})
	}
	c.s.preemptBuffer.victims = all
	return all
}

// preemptBuffer is the storage of an attempt to preempt runs, for reuse.
type preemptBuffer struct {
	chooser preempt.Chooser
	victims []preempt.Victim
}

// unsavedWork returns the work, in core-milliseconds, that a stop discards:
// half a checkpoint interval for a task that saves checkpoints, otherwise
// everything since its start.
func (r *run) unsavedWork(now time.Time) int64 {
	spec := r.task.step.spec
	cores := spec.Needs.MilliCPU
	if spec.Checkpointing {
		return cores * saveInterval.Milliseconds() / 2 / 1000
	}
	return cores * now.Sub(r.startedAt).Milliseconds() / 1000
}

// saveInterval is the assumed checkpoint interval, used to compare victims.
const saveInterval = time.Second
