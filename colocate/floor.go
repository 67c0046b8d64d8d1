package colocate

import "time"

// slackFloor estimates how low the slack of a class falls by its tasks' own
// load, as a low quantile over the levels of all its steps.
type slackFloor struct {
	level float64
	known bool
	// updatedAt is when a step of the class last reported.
	updatedAt time.Time
}

const (
	// floorQuantile is above 0 to allow for outliers among the levels.
	floorQuantile = 0.03
	// floorStep is the adaptation rate per report.
	floorStep = 0.05
	// floorMaxVariance is the largest variance of a level that is taken into
	// account.
	floorMaxVariance = 0.04
)

// observe updates the estimate with the level of a step.
func (f *slackFloor) observe(s *SlackTrend) {
	f.updatedAt = s.updatedAt
	if s.levelVar > floorMaxVariance {
		return
	}
	if !f.known {
		f.level, f.known = s.level, true
	}
	if s.level < f.level {
		f.level -= floorStep * (1 - floorQuantile)
	} else {
		f.level += floorStep * floorQuantile
	}
}

// value returns the estimate, or defaultFloor if there is none.
func (f *slackFloor) value() float64 {
	if f == nil || !f.known {
		return defaultFloor
	}
	return f.level
}

// defaultFloor assumes that the tasks' own load takes them close to their
// target.
const defaultFloor = 1.2
