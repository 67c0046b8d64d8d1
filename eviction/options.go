package eviction

import "time"

// Options holds the parameters of a HostMonitor.
type Options struct {
	// Lag is the delay of reports.
	Lag time.Duration
	// EvictAfter is how long a throttle lasts before a task is evicted; longer
	// than Lag.
	EvictAfter time.Duration
	// ThrottlePercent is the CPU limit of a throttled task, 1 to 100.
	ThrottlePercent int
}

// settleTime returns the time from a decision until reports show its effect: a
// lag, and as long again due to smoothing.
func (o Options) settleTime() time.Duration { return 2 * o.Lag }
