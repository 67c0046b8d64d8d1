package overload

import (
	"math"
	"time"
)

// Unlimited is the number of visits of a cycle without a limit.
const Unlimited = math.MaxInt

const (
	// targetDuration is the duration of a cycle above which its work is reduced. The owner
	// begins a cycle at most every four such durations, a small part of the objective of
	// an urgent task.
	targetDuration = 16 * time.Millisecond
	// increase is the factor of an increase, after a cycle that the limit cut short below
	// the target.
	increase = 1.25
	// minLimit is the least limit: a search that small takes little of a cycle.
	minLimit = 256
	// recoveryTime is the time without a cycle that was cut short after which the limit is
	// lifted.
	recoveryTime = time.Second
)

// Cycle is a planning cycle.
type Cycle struct {
	Took time.Duration
	// Visits counts the visits of workers that the limit bounds.
	Visits int
	// Cut is set if the limit left work for the next cycle.
	Cut bool
}

// Controller bounds the visits of workers in a cycle, by multiplicative decrease and
// increase, so that a cycle takes about targetDuration. The zero value sets no limit.
type Controller struct {
	// limit is 0 without a limit.
	limit float64
	// cutAt is the time of the last cycle that took too long or was cut short.
	cutAt time.Time
}

// Limit returns the limit on the visits of the next cycle, Unlimited if there is none.
func (c *Controller) Limit() int {
	if c.limit == 0 {
		return Unlimited
	}
	return int(c.limit)
}

// Short reports whether the owner is short of processor: a limit is in force.
func (c *Controller) Short() bool { return c.limit != 0 }

// Observe records a cycle and adapts the limit.
func (c *Controller) Observe(now time.Time, cycle Cycle) {
	switch {
	case cycle.Took > targetDuration:
		share := float64(targetDuration) / float64(cycle.Took)
		c.limit, c.cutAt = max(float64(cycle.Visits)*share, minLimit), now
	case cycle.Cut:
		c.limit, c.cutAt = c.limit*increase, now
	case c.limit != 0 && now.Sub(c.cutAt) >= recoveryTime:
		c.limit = 0
	}
}
