package pace

import "time"

const (
	// minWindow and minPercent are the least time and the least progress at normal
	// speed that a measurement covers. Progress is reported in whole percent, so
	// that shorter ones are too coarse.
	minWindow  = 200 * time.Millisecond
	minPercent = 5
	// firstPercent and lastPercent bound the progress at which a run is measured: at 0
	// it may still be loaded, at 100 it may have ended already.
	firstPercent, lastPercent = 1, 99
)

// Progress measures the speed of a run from the progress that its worker reports.
// The zero value has measured nothing.
type Progress struct {
	// since is when the current window began, in Unix nanoseconds, 0 if none has;
	// from is the progress then, in percent.
	since int64
	from  int8
	// measured is set once the run has been measured.
	measured bool
	// least is the least time for one percent so far, in seconds, 0 if none is known.
	least float32
}

// Measurement is the speed of a run over a window.
type Measurement struct {
	// Since is when the window began.
	Since time.Time
	// PerPercent is the time for one percent of the task; if there was no progress,
	// a lower bound.
	PerPercent time.Duration
	// Rise is how many times as slow the run has surely become since it was fastest, 0 if
	// that isn't known. A run that takes long by itself is slow from its start.
	Rise float64
}

// Observe adds a reported progress. It returns a measurement once the window is long
// enough, and begins the next one. normal is the normal time for one percent, 0 if
// it isn't known; started is when the run started from the beginning, zero if that isn't
// known.
func (p *Progress) Observe(now time.Time, percent int, normal time.Duration, started time.Time) (Measurement, bool) {
	if !started.IsZero() && percent >= minPercent {
		p.observe(now.Sub(started) / time.Duration(percent)) // on average so far
	}
	if percent < firstPercent || percent > lastPercent || (p.since != 0 && percent < int(p.from)) {
		p.Reset()
		return Measurement{}, false
	}
	if p.since == 0 {
		p.begin(now, percent)
		return Measurement{}, false
	}
	elapsed, progress := now.Sub(time.Unix(0, p.since)), percent-int(p.from)
	if elapsed < minWindow || (progress < minPercent && (normal <= 0 || elapsed < minPercent*normal)) {
		return Measurement{}, false
	}
	m := Measurement{Since: time.Unix(0, p.since), PerPercent: time.Duration(float64(elapsed) / max(float64(progress), 0.5))}
	if p.least > 0 {
		m.Rise = elapsed.Seconds() / float64(progress+1) / float64(p.least) // progress is reported in whole percent
	}
	p.observe(m.PerPercent)
	p.measured = true
	p.begin(now, percent)
	return m, true
}

func (p *Progress) begin(now time.Time, percent int) { p.since, p.from = now.UnixNano(), int8(percent) } //nolint:gosec // at most lastPercent

// Reset drops the current window, as when the run didn't have its processors all the
// time.
func (p *Progress) Reset() { p.since = 0 }

// Measured reports whether the run has been measured.
func (p *Progress) Measured() bool { return p.measured }

// Least returns the least time for one percent so far, 0 if none is known.
func (p *Progress) Least() time.Duration {
	return time.Duration(float64(p.least) * float64(time.Second))
}

// Continue begins the measurement of a run of a task whose earlier runs took at least the
// given time for one percent. It has no effect once the run has been observed.
func (p *Progress) Continue(least time.Duration) {
	if p.least == 0 && !p.measured && p.since == 0 && least > 0 {
		p.observe(least)
	}
}

// observe records a time for one percent.
func (p *Progress) observe(perPercent time.Duration) {
	if seconds := float32(perPercent.Seconds()); p.least == 0 || seconds < p.least {
		p.least = seconds
	}
}
