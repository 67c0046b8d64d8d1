package flow

import "time"

// Limit bounds the number of orders in flight by their round trip (additive
// increase, multiplicative decrease): it grows while the smoothed round trip is
// below Target and shrinks while it is above. Orders beyond the limit stay with
// the caller, which can still reorder them by urgency.
type Limit struct {
	// Target is the round trip above which a higher limit adds only delay.
	Target time.Duration
	// Min and Max bound the limit.
	Min, Max int

	limit    float64
	inFlight int
	// smoothedRTT is the smoothed round trip. A single slow worker changes it too
	// little to lower the limit.
	smoothedRTT time.Duration
	// decreasedAt is the time of the last decrease.
	decreasedAt time.Time
}

const (
	// minDecreaseFactor and maxDecreaseFactor bound the factor of a decrease,
	// which is the ratio of the target to the round trip.
	minDecreaseFactor, maxDecreaseFactor = 0.3, 0.8
	// Below fastGrowthShare of the target the limit grows by fastIncrease per
	// answer, and so doubles within one round trip.
	fastGrowthShare, fastIncrease = 0.25, 1.0
)

// initialLimit is the limit before the first round trip is known.
const initialLimit = 64

// NewLimit returns a limit that stays within lower and upper.
func NewLimit(target time.Duration, lower, upper int) *Limit {
	return &Limit{Target: target, Min: lower, Max: upper, limit: float64(min(max(initialLimit, lower), upper))}
}

// Available returns how many more orders may be sent.
func (l *Limit) Available() int { return max(int(l.limit)-l.inFlight, 0) }

// InFlight returns the number of orders in flight.
func (l *Limit) InFlight() int { return l.inFlight }

// Current returns the limit on orders in flight.
func (l *Limit) Current() int { return int(l.limit) }

// Acquire records that an order is sent.
func (l *Limit) Acquire() { l.inFlight++ }

// Answered records that an order was answered after the round trip rtt.
func (l *Limit) Answered(now time.Time, rtt time.Duration) {
	wellUsed := float64(l.inFlight) >= l.limit/2
	l.inFlight--
	if l.smoothedRTT == 0 {
		l.smoothedRTT = rtt
	}
	l.smoothedRTT += time.Duration(smoothedRTTWeight * float64(rtt-l.smoothedRTT))
	switch {
	case l.smoothedRTT > l.Target:
		// Orders now in flight were sent under the previous limit; their delay is no
		// reason to decrease it again.
		if now.Sub(l.decreasedAt) >= l.smoothedRTT {
			factor := min(max(float64(l.Target)/float64(l.smoothedRTT), minDecreaseFactor), maxDecreaseFactor)
			l.limit, l.decreasedAt = max(l.limit*factor, float64(l.Min)), now
		}
	case !wellUsed:
	case l.smoothedRTT < time.Duration(fastGrowthShare*float64(l.Target)):
		l.limit = min(l.limit+fastIncrease, float64(l.Max))
	default:
		l.limit = min(l.limit+1/l.limit, float64(l.Max))
	}
}

// Release records the end of an order without a round trip: it wasn't sent or
// got no answer.
func (l *Limit) Release() { l.inFlight-- }
