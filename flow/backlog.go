package flow

import "time"

// Backlog says how long a start waits for those before it while an owner can't
// give starts as fast as they come. The load it answers is more work than the
// owner's host and relays can start, though workers have room: accepted all the
// same it would wait longer each second, past its use.
type Backlog struct {
	// rate is the smoothed number of starts a second, 0 while it isn't known.
	rate float64
}

const (
	// rateWeight is the weight of a new second in the rate.
	rateWeight = 0.25
	// longestBacklog is how long what is accepted may wait for its first start:
	// about as long as a usual batch job runs.
	longestBacklog = 10 * time.Second
	// shortestReturn and longestReturn bound when callers are asked to come back.
	shortestReturn, longestReturn = time.Second, 8 * time.Second
)

// Observe takes in the starts of a second, and whether most planning cycles in it
// were cut short by those under way. Only then do they tell what can be given.
func (b *Backlog) Observe(starts int, heldBack bool) {
	switch {
	case !heldBack:
		b.rate = 0
	case b.rate == 0:
		b.rate = float64(starts)
	default:
		b.rate += rateWeight * (float64(starts) - b.rate)
	}
}

// Refuse reports whether a job with so many starts before it should be refused,
// and when its caller should come back: when what waits has fallen to what may.
func (b *Backlog) Refuse(before int) (after time.Duration, refuse bool) {
	if b.rate < 1 {
		return 0, false
	}
	wait := time.Duration(float64(before) / b.rate * float64(time.Second))
	if wait <= longestBacklog {
		return 0, false
	}
	return min(max(wait-longestBacklog, shortestReturn), longestReturn), true
}
