package interference

import "time"

// Explorer bounds how often pairs that are little known are tried out where
// caution alone would forbid it: some trials an interval in all, and by the
// caller's Trial one an interval on each host.
type Explorer struct {
	// Interval is how long a trial is given to show its effect; longer than
	// the lag.
	Interval time.Duration
	began    time.Time
	count    int
}

// Trial is when a host last had a trial; the zero value is for never.
type Trial struct{ at time.Time }

// Allowed reports whether a trial may begin at now on a host, with at most
// limit in all within the interval.
func (e *Explorer) Allowed(now time.Time, host Trial, limit int) bool {
	if e.Interval <= 0 {
		return false
	}
	if now.Sub(e.began) >= e.Interval {
		e.began, e.count = now, 0
	}
	return e.count < limit && now.Sub(host.at) >= e.Interval
}

// Begin counts a trial on a host.
func (e *Explorer) Begin(now time.Time, host *Trial) {
	host.at = now
	e.count++
}
