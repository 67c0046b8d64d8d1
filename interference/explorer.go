package interference

import "time"

// Explorer bounds trials, which run a pair of classes in order to learn its
// effect: a limited number per interval in total, and one per interval on each
// host.
type Explorer struct {
	// Interval is the length of a trial; it must exceed the lag of reports.
	Interval time.Duration
	// began is when the current interval began; count is the number of trials
	// begun since.
	began time.Time
	count int
}

// Trial records the last trial on a host; the zero value means none.
type Trial struct{ at time.Time }

// Allowed reports whether a trial may begin on a host at now, with at most
// limit trials per interval in total. Begin must be called if it does begin.
func (e *Explorer) Allowed(now time.Time, host Trial, limit int) bool {
	if e.Interval <= 0 {
		return false
	}
	if now.Sub(e.began) >= e.Interval {
		e.began, e.count = now, 0
	}
	return e.count < limit && now.Sub(host.at) >= e.Interval
}

// Begin records a trial on a host.
func (e *Explorer) Begin(now time.Time, host *Trial) {
	host.at = now
	e.count++
}
