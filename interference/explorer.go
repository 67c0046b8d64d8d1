package interference

import "time"

// Explorer bounds how often a pair that is little known is tried out where
// caution alone would forbid it: at most one trial at a time, each given the
// lag to show its effect.
type Explorer struct {
	// Interval is the least time between trials; longer than the lag.
	Interval time.Duration
	last     time.Time
}

// Allowed reports whether a trial may begin at now.
func (e *Explorer) Allowed(now time.Time) bool {
	return e.Interval > 0 && now.Sub(e.last) >= e.Interval
}

// Begin counts a trial.
func (e *Explorer) Begin(now time.Time) { e.last = now }
