package dispatch

import (
	"slices"
	"time"
)

// holdStart withholds the start of a task under which a worker was lost until the
// store has the run's location and the loss. Otherwise a later owner might not learn
// of the start, and not count the crash that follows.
func (s *State) holdStart(r *run, o StartOrder) {
	r.held = true
	r.task.step.job.urgent = true
	s.heldStarts = append(s.heldStarts, heldStart{r, o})
}

// heldStart is a start that waits for its run's location to become durable.
type heldStart struct {
	run   *run
	order StartOrder
}

// releaseHeldStarts returns the held starts whose locations are durable, with current
// leases and tokens. It drops those whose run has ended or is to be stopped.
func (s *State) releaseHeldStarts(now time.Time) []StartOrder {
	var starts []StartOrder
	s.heldStarts = slices.DeleteFunc(s.heldStarts, func(h heldStart) bool {
		r := h.run
		switch {
		case !slices.Contains(r.task.runs, r):
			return true
		case r.phase == stopping || !r.worker.usable(now):
			s.releaseRun(now, r, NotSent)
			return true
		case !r.stored:
			r.task.step.job.urgent = true
			return false
		}
		r.held, r.token, r.startedAt = false, r.worker.token, now
		h.order.Start.Token, h.order.Start.LeaseUntil = r.worker.token, s.leaseFor(now, r.worker)
		starts = append(starts, h.order)
		return true
	})
	return starts
}

// markStored records that the locations of a task's runs are durable.
func (t *task) markStored(workers []uint32) {
	for _, r := range t.runs {
		r.stored = r.stored || slices.Contains(workers, r.worker.hash)
	}
}
