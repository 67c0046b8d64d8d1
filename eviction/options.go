package eviction

import "time"

// Options bounds the decisions on one host.
type Options struct {
	// Lag is how far reports lag behind.
	Lag time.Duration
	// EvictAfter is how long a throttle is given to help before an
	// eviction; longer than Lag.
	EvictAfter time.Duration
	// ThrottlePercent is the share of its processors that a throttled task
	// keeps, 1 to 100.
	ThrottlePercent int
}

// settle is how long after a decision its effect is waited for: the reports
// that show it arrive a lag later, and smoothing takes as long again.
func (o Options) settle() time.Duration { return 2 * o.Lag }
