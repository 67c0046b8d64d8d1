package routing

import "time"

const (
	// minRetryAfter and maxRetryAfter bound Admission.RetryAfter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Reasons for refusing a request.
const (
	// ReasonQueueFull: the queue is at its length limit.
	ReasonQueueFull = "queue_full"
	// ReasonDeadlineUnreachable: the request would wait past its deadline.
	ReasonDeadlineUnreachable = "deadline_unreachable"
	// ReasonOverloaded: the queue does not drain, so that waiting only adds
	// latency.
	ReasonOverloaded = "overloaded"
)

// Admission is the decision whether a request may join the queue.
type Admission struct {
	// Admitted is set if the request may wait.
	Admitted bool
	// RetryAfter is the suggested delay before the caller retries a refused
	// request.
	RetryAfter time.Duration
	// Reason is the reason of a refusal.
	Reason string
}

const (
	// standingWaitFactor limits the wait in a standing queue, in multiples of
	// the service time.
	standingWaitFactor = 5
	// deadlineMarginFactor is the time that must be left until the deadline at
	// dispatch, in multiples of the mean service time. Many requests take
	// longer than the mean.
	deadlineMarginFactor = 2
	// minServiceTime replaces an unknown mean service time, so that the caller
	// still gets the refusal before its deadline.
	minServiceTime = 10 * time.Millisecond
)

// WaitDeadline returns the latest time until which a request with the given
// deadline may wait for a slot. serviceTime is the mean time that one request
// takes; 0 if unknown.
func WaitDeadline(deadline time.Time, serviceTime time.Duration) time.Time {
	return deadline.Add(-deadlineMarginFactor * max(serviceTime, minServiceTime))
}

// Admit decides whether a request with the time remaining may join the queue.
// perSecond is the rate at which slots become free and serviceTime the mean
// time that one request takes; both follow the measured latency. A request that
// cannot be served in time is refused immediately rather than at its deadline.
// Admit also records whether the queue is long, to detect a standing queue. The
// clock of now must stop while the process is paused.
func (q *Queue) Admit(now time.Time, perSecond float64, serviceTime, remaining time.Duration) Admission {
	if perSecond <= 0 {
		return q.admitWithoutRate()
	}
	wait := time.Duration(float64(q.Len()+1) / perSecond * float64(time.Second))
	long := wait > standingWaitFactor*serviceTime
	standing := q.observe(now, q.Len(), long)
	switch {
	case q.Full():
		return Admission{RetryAfter: clamp(wait), Reason: ReasonQueueFull}
	case wait+deadlineMarginFactor*serviceTime > remaining:
		return Admission{RetryAfter: clamp(wait), Reason: ReasonDeadlineUnreachable}
	case standing && long:
		return Admission{RetryAfter: clamp(wait), Reason: ReasonOverloaded}
	default:
		return Admission{Admitted: true}
	}
}

// admitWithoutRate decides when the rate is unknown because all slots are on
// other hosts.
func (q *Queue) admitWithoutRate() Admission {
	if q.Full() {
		return Admission{RetryAfter: time.Second, Reason: ReasonQueueFull}
	}
	return Admission{Admitted: true}
}

func clamp(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
