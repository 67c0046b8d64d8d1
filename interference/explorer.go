package interference

import "time"

// Explorer bounds the trials of pairs with uncertain estimates: a limited
// number per interval in total, and one per interval on each host.
type Explorer struct {
	// Interval is the length of a trial; it must exceed the lag of reports.
	Interval time.Duration
	began    time.Time
	count    int
}

// Trial records the last trial on a host; the zero value means none.
type Trial struct{ at time.Time }

// Allowed reports whether a trial may begin on a host at now, with at most
// limit trials per interval in total.
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
