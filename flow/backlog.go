package flow

import "time"

// Backlog estimates how long an accepted job waits for its first start while
// the owner can't issue starts as fast as they arrive. It limits the queue when
// the bottleneck is the owner's host or its relays and not the capacity of
// workers.
type Backlog struct {
	// rate is the smoothed number of starts per second, 0 if unknown.
	rate float64
}

// BacklogInterval is the period between two calls of Backlog.Observe. What is accepted
// before a shortage shows waits with all that follows.
const BacklogInterval = 250 * time.Millisecond

const (
	// rateWeight is the weight of the latest period in rate.
	rateWeight = 0.25
	// maxBacklogWait bounds the expected wait for a job's first start; it is about
	// the run time of a typical batch job.
	maxBacklogWait = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the delay that rejected callers are
	// asked to wait.
	minRetryAfter, maxRetryAfter = time.Second, 8 * time.Second
)

// Observe records the starts of a period, usually BacklogInterval, and whether a limit cut
// most of its planning cycles short. Only then does the number of starts show the rate that
// can be sustained.
func (b *Backlog) Observe(starts int, period time.Duration, limitReached bool) {
	rate := float64(starts) / period.Seconds()
	switch {
	case !limitReached:
		b.rate = 0
	case b.rate == 0:
		b.rate = rate
	default:
		b.rate += rateWeight * (rate - b.rate)
	}
}

// Refuse reports whether to reject a job with startsAhead starts queued before
// it that must start within the time latest to be on time. retryAfter is the delay until its
// caller should retry, after which the expected wait should have dropped to the limit.
func (b *Backlog) Refuse(startsAhead int, latest time.Duration) (retryAfter time.Duration, refuse bool) {
	if b.rate < 1 {
		return 0, false
	}
	limit := min(latest, maxBacklogWait)
	wait := time.Duration(float64(startsAhead) / b.rate * float64(time.Second))
	if wait <= limit {
		return 0, false
	}
	return min(max(wait-limit, minRetryAfter), maxRetryAfter), true
}
