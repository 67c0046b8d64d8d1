package flow

import "time"

// Timeout derives how long to wait for an answer from observed round trips: the
// smoothed round trip plus four mean deviations, as in RFC 6298. One Timeout
// covers all workers of an owner, because delays that affect many of them arise
// in the owner's processor or network link.
type Timeout struct {
	// Min and Max bound the timeout.
	Min, Max time.Duration

	smoothedRTT, deviation time.Duration
	// timeoutShare is the smoothed share of orders that timed out.
	timeoutShare float64
	// backoff multiplies the timeout while many orders time out; it is at least 1
	// once set.
	backoff float64
}

const (
	// smoothedRTTWeight and deviationWeight are the weights of a new round trip,
	// from RFC 6298.
	smoothedRTTWeight, deviationWeight = 1.0 / 8, 1.0 / 4
	// deviationFactor is the number of mean deviations added to the smoothed round
	// trip.
	deviationFactor = 4
	// timeoutWeight is the weight of a new order in timeoutShare, so that some dozens
	// of orders decide.
	timeoutWeight = 1.0 / 64
	// timeoutThreshold is the value of timeoutShare from which the timeout
	// doubles. The failure of single workers or racks stays below it.
	timeoutThreshold = 0.25
	// backoffDecay multiplies backoff at each answer.
	backoffDecay = 0.99
)

// Answered records the round trip of an answered order. It also takes back some
// of the increase of the timeout by earlier calls of TimedOut.
func (t *Timeout) Answered(rtt time.Duration) {
	t.timeoutShare -= timeoutWeight * t.timeoutShare
	t.backoff = max(t.backoff*backoffDecay, 1)
	if t.smoothedRTT == 0 {
		t.smoothedRTT, t.deviation = rtt, rtt/2
		return
	}
	diff := max(rtt-t.smoothedRTT, t.smoothedRTT-rtt)
	t.deviation += time.Duration(deviationWeight * float64(diff-t.deviation))
	t.smoothedRTT += time.Duration(smoothedRTTWeight * float64(rtt-t.smoothedRTT))
}

// TimedOut records an order without an answer within the timeout. The timeout
// doubles once too large a share of orders time out.
func (t *Timeout) TimedOut() {
	t.timeoutShare += timeoutWeight * (1 - t.timeoutShare)
	if t.timeoutShare >= timeoutThreshold {
		// Beyond Max a higher backoff would lengthen nothing but the return from it.
		t.backoff = min(max(t.backoff, 1)*2, float64(t.Max)/float64(t.base()))
		t.timeoutShare /= 2 // require as many further timeouts for the next doubling
	}
}

// Value returns how long to wait for an answer.
func (t *Timeout) Value() time.Duration {
	return time.Duration(min(max(t.backoff, 1)*float64(t.base()), float64(t.Max)))
}

// base returns the timeout before backoff.
func (t *Timeout) base() time.Duration { return max(t.smoothedRTT+deviationFactor*t.deviation, t.Min) }

// SmoothedRTT returns the smoothed round trip, 0 before the first answer.
func (t *Timeout) SmoothedRTT() time.Duration { return t.smoothedRTT }
