package routing

import "time"

const (
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Reasons of refusals.
const (
	// ReasonQueueFull: the queue has its largest length.
	ReasonQueueFull = "queue_full"
	// ReasonDeadlineUnreachable: the wait would be longer than the time left.
	ReasonDeadlineUnreachable = "deadline_unreachable"
	// ReasonOverloaded: the queue does not drain, so a wait helps nobody.
	ReasonOverloaded = "overloaded"
)

// Admission is the answer to whether a request may wait.
type Admission struct {
	// Admitted is whether it may.
	Admitted bool
	// RetryAfter is what a refused caller is told.
	RetryAfter time.Duration
	// Reason is why it was refused.
	Reason string
}

const (
	// standingFor is how long the queue must have been long for its length to
	// count as standing: a burst is waited for, a standing queue only makes
	// every answer late.
	standingFor = 500 * time.Millisecond
	// standingWork is how many times the work of one request a wait may be
	// while the queue is standing.
	standingWork = 5
	// deadlineMargin is how many times the mean work of one request must be
	// left of its time when it is dispatched, since much work takes longer
	// than the mean.
	deadlineMargin = 2
	// leastWork is taken for the mean work where none was measured, so that
	// whoever waits for the request hears that it was given up.
	leastWork = 10 * time.Millisecond
)

// WaitDeadline returns until when a request with the deadline may wait, where one
// takes each, 0 if that is not known.
func WaitDeadline(deadline time.Time, each time.Duration) time.Time {
	return deadline.Add(-deadlineMargin * max(each, leastWork))
}

// Admit decides whether a request with the time remaining may join the queue,
// where slots free up perSecond and one request takes each. Both come from
// the measured latency, so the queue's limit follows it. A request that is
// refused is refused now, not when its time is over.
func (q *Queue) Admit(now time.Time, perSecond float64, each, remaining time.Duration) Admission {
	if perSecond <= 0 {
		return q.admitBlind()
	}
	wait := time.Duration(float64(q.Len()+1) / perSecond * float64(time.Second))
	long := wait > standingWork*each
	standing := q.standing(now, long)
	switch {
	case q.Full():
		return Admission{RetryAfter: clamp(wait), Reason: ReasonQueueFull}
	case wait+deadlineMargin*each > remaining:
		return Admission{RetryAfter: clamp(wait), Reason: ReasonDeadlineUnreachable}
	case standing && long:
		return Admission{RetryAfter: clamp(wait), Reason: ReasonOverloaded}
	default:
		return Admission{Admitted: true}
	}
}

// standing notes whether the queue is long at now, and reports whether it has
// been, on and off, for so long that it does not drain by itself.
func (q *Queue) standing(now time.Time, long bool) bool {
	if q.longSince.IsZero() || now.Sub(q.longLast) > standingFor {
		q.longSince = now
	}
	if long {
		q.longLast = now
	}
	return now.Sub(q.longSince) > standingFor
}

// admitBlind decides where no rate is known since all slots are elsewhere.
func (q *Queue) admitBlind() Admission {
	if q.Full() {
		return Admission{RetryAfter: time.Second, Reason: ReasonQueueFull}
	}
	return Admission{Admitted: true}
}

func clamp(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
