package colocate

import "time"

// low follows how far the slack of a class falls by its tasks' own load. It
// is a low quantile of the levels seen, over all steps of the class: they
// swing alike, at different times, so it is known long before one step has
// been through a whole swing.
type low struct {
	level float64
	known bool
	// at is when a step of the class last reported.
	at time.Time
}

const (
	// lowQuantile is the share of levels below it; some are mistaken.
	lowQuantile = 0.03
	// lowStep is how fast it follows, a reading. A class reports some 20
	// times a second, so that it falls by 1 within a second and rises by 0.03.
	lowStep = 0.05
	// lowVariance is the variance of a level that counts as known.
	lowVariance = 0.04
)

// observe takes in the level of a step.
func (l *low) observe(s *SlackTrend) {
	l.at = s.at
	if s.levelVar > lowVariance {
		return
	}
	if !l.known {
		l.level, l.known = s.level, true
	}
	if s.level < l.level {
		l.level -= lowStep * (1 - lowQuantile)
	} else {
		l.level += lowStep * lowQuantile
	}
}

// value returns the low level, firstLow while nothing is known.
func (l *low) value() float64 {
	if l == nil || !l.known {
		return firstLow
	}
	return l.level
}

// firstLow is assumed of a class without reports: that its tasks come near
// their target by themselves.
const firstLow = 1.2
