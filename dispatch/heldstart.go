package dispatch

import (
	"slices"
	"time"
)

// holdStart withholds a start until the store has the run's location. Without that, a
// later owner might not learn of the start of a task under which a worker was lost, and
// not count the crash that follows; and an owner that was replaced might start a task
// whose end its successor has recorded.
func (s *State) holdStart(r *run, o StartOrder) {
	r.held = true
	r.task.step.job.urgent = true
	s.heldStarts = append(s.heldStarts, heldStart{r, o})
}

// mayHaveEnded reports whether an earlier run of the task, or of a member of its gang, may
// have ended on a worker that doesn't answer this owner, or was lost.
func (t *task) mayHaveEnded() bool {
	if t.step.spec.Gang && slices.ContainsFunc(t.step.tasks, func(member task) bool { return member.lost }) {
		return true
	}
	return t.lost || slices.ContainsFunc(t.runs, func(r *run) bool { return !r.worker.unresponsiveSince.IsZero() })
}

// heldStart is a start that waits for its run's location to become durable.
type heldStart struct {
	run   *run
	order StartOrder
}

// releaseHeldStarts returns the held starts whose locations are durable, with current
// leases of at most the given duration, and current tokens. It drops those whose run has
// ended or is to be stopped, and those to a worker that may get no starts any more.
func (s *State) releaseHeldStarts(now time.Time, lease time.Duration) []StartOrder {
	var starts []StartOrder
	s.heldStarts = slices.DeleteFunc(s.heldStarts, func(h heldStart) bool {
		r := h.run
		switch {
		case !slices.Contains(r.task.runs, r):
			return true
		case r.phase == stopping || !r.worker.usable(now) || !r.worker.mayLease():
			s.releaseRun(now, r, NotSent)
			return true
		case !r.stored:
			r.task.step.job.urgent = true
			return false
		}
		w := r.worker
		r.held, r.token, r.life, r.startedAt = false, s.startToken(w), w.number, now
		h.order.To, h.order.Start.Token, h.order.Start.LeaseUntil = w.addressee(now), r.token, s.leaseFor(now, w, lease)
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
