package colocate

import (
	"math"
	"time"
)

// SlackTrend follows the slack that the tasks of a step would have by themselves.
// It rises and falls with their users, and all tasks of the step share it. It
// is a Kalman filter over the level and its slope.
type SlackTrend struct {
	level, slope float64
	// variance of the level, of the slope, and of both together.
	levelVar, slopeVar, cross float64
	at                        time.Time
}

const (
	// firstLevel and firstLevelVar are what is assumed before any report: a
	// task at half load whose target is five times its idle tail.
	firstLevel, firstLevelVar = 2.5, 1.0
	// firstSlopeVar allows the steepest swings seen, 0.5 a second.
	firstSlopeVar = 0.1
	// swingAcceleration is how fast the slope changes, as variance a second:
	// a load that swings by half its mean within 14 s changes its slope by
	// 0.2 a second each second.
	swingAcceleration = 0.02
	// longestGap is the seconds without a report after which the slope is
	// forgotten: a quarter of a swing.
	longestGap = 4.0
	// leastVar keeps the variances above rounding errors.
	leastVar = 1e-6
)

// advance moves the estimate to now.
func (s *SlackTrend) advance(now time.Time) {
	if s.at.IsZero() {
		s.level, s.levelVar, s.slopeVar = firstLevel, firstLevelVar, firstSlopeVar
		s.at = now
		return
	}
	dt := now.Sub(s.at).Seconds()
	if dt <= 0 {
		return
	}
	s.at = now
	if dt > longestGap {
		s.levelVar, s.slope, s.slopeVar, s.cross = firstLevelVar, 0, firstSlopeVar, 0
		return
	}
	s.level += s.slope * dt
	s.levelVar += 2*dt*s.cross + dt*dt*s.slopeVar + swingAcceleration*dt*dt*dt/3
	s.cross += dt*s.slopeVar + swingAcceleration*dt*dt/2
	s.slopeVar += swingAcceleration * dt
	s.bound()
}

// bound keeps the variances within what is assumed before any report, and the
// covariance within what they allow.
func (s *SlackTrend) bound() {
	s.levelVar = min(max(s.levelVar, leastVar), firstLevelVar)
	s.slopeVar = min(max(s.slopeVar, leastVar), firstSlopeVar)
	most := math.Sqrt(s.levelVar * s.slopeVar)
	s.cross = min(max(s.cross, -most), most)
}

// observe takes in one reading of the level.
func (s *SlackTrend) observe(now time.Time, level, variance float64) {
	s.advance(now)
	total := s.levelVar + variance
	residual := level - s.level
	limit := outlier * math.Sqrt(total)
	residual = min(max(residual, -limit), limit)
	gain, slopeGain := s.levelVar/total, s.cross/total
	s.level += gain * residual
	s.slope += slopeGain * residual
	s.slopeVar -= slopeGain * s.cross
	s.cross -= gain * s.cross
	s.levelVar -= gain * s.levelVar
	s.bound()
}

// outlier is how many deviations a reading counts for at most.
const outlier = 3.0

// ahead returns the least level to expect within the horizon, not below low,
// and the deviation of the estimate.
func (s *SlackTrend) ahead(now time.Time, horizon time.Duration, low float64) (level, deviation float64) {
	if s == nil || s.at.IsZero() {
		return low, math.Sqrt(firstLevelVar)
	}
	dt := now.Sub(s.at).Seconds()
	level = s.level + s.slope*dt
	variance := s.levelVar + 2*dt*s.cross + dt*dt*s.slopeVar
	return level - s.fall(horizon, low), math.Sqrt(min(max(variance, 0), firstLevelVar))
}

// fall returns by how much the level is expected to fall within the horizon:
// along its slope, but not below low, where it turns.
func (s *SlackTrend) fall(horizon time.Duration, low float64) float64 {
	if s == nil || s.slope >= 0 {
		return 0
	}
	return min(-s.slope*horizon.Seconds(), max(s.level-low, 0))
}
