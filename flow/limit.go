package flow

import "time"

// Limit bounds how many orders are under way at a time by how long they take:
// it grows while answers come sooner than Target and shrinks once they come
// later (additive increase, multiplicative decrease). What isn't begun beyond
// it can still be ordered by urgency, and spoils no worker's room.
type Limit struct {
	// Target is the round trip beyond which more under way only waits longer.
	Target time.Duration
	// Min and Most bound the limit.
	Min, Max int

	limit    float64
	underWay int
	// smoothed is the smoothed round trip: a single slow worker says nothing of
	// how many may be under way.
	smoothed time.Duration
	// shrunkAt is when the limit was last made smaller.
	shrunkAt time.Time
}

const (
	// leastShrink and mostShrink bound what remains of the limit when answers
	// come too late: the share of the target in the round trip.
	leastShrink, mostShrink = 0.3, 0.8
	// fastShare is the share of the target below which the limit grows by
	// fastGrowth for each answer, so that it doubles in a round trip.
	fastShare, fastGrowth = 0.25, 1.0
)

// beginWith is the limit before anything is measured: what a small link carries
// in a fraction of a second.
const beginWith = 64

// NewLimit returns a limit.
func NewLimit(target time.Duration, least, most int) *Limit {
	return &Limit{Target: target, Min: least, Max: most, limit: float64(min(max(beginWith, least), most))}
}

// Available returns how many more may be begun.
func (l *Limit) Available() int { return max(int(l.limit)-l.underWay, 0) }

// InFlight returns how many are under way, Current how many may be.
func (l *Limit) InFlight() int { return l.underWay }

// Current returns how many may be under way.
func (l *Limit) Current() int { return int(l.limit) }

// Acquire takes in that an order is given.
func (l *Limit) Acquire() { l.underWay++ }

// Answered takes in that an order was answered.
func (l *Limit) Answered(now time.Time, took time.Duration) {
	used := float64(l.underWay) >= l.limit/2
	l.underWay--
	if l.smoothed == 0 {
		l.smoothed = took
	}
	l.smoothed += time.Duration(smoothedWeight * float64(took-l.smoothed))
	switch {
	case l.smoothed > l.Target:
		// Those under way now were given before the limit shrank: they are
		// late as well and say nothing new.
		if now.Sub(l.shrunkAt) >= l.smoothed {
			remains := min(max(float64(l.Target)/float64(l.smoothed), leastShrink), mostShrink)
			l.limit, l.shrunkAt = max(l.limit*remains, float64(l.Min)), now
		}
	case !used:
	case l.smoothed < time.Duration(fastShare*float64(l.Target)):
		l.limit = min(l.limit+fastGrowth, float64(l.Max))
	default:
		l.limit = min(l.limit+1/l.limit, float64(l.Max))
	}
}

// Release takes in that an order is over of which nothing was measured: it wasn't
// sent, or got no answer.
func (l *Limit) Release() { l.underWay-- }
