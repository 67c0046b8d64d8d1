package colocate

import (
	"math"
	"time"
)

// SlackTrend estimates the slack that the tasks of a step have without
// interference. It varies with their users' load, which all tasks of the step
// share. It is a Kalman filter over level and slope.
type SlackTrend struct {
	level, slope float64
	// levelVar and slopeVar are variances, covariance that of level and slope.
	levelVar, slopeVar, covariance float64
	updatedAt                      time.Time
}

const (
	// The level before any report: a task at half load whose target is five
	// times its idle tail.
	initialLevel, initialLevelVar = 2.5, 1.0
	// initialSlopeVar allows for slopes of up to 0.5 per second.
	initialSlopeVar = 0.1
	// slopeProcessNoise is the growth of the slope's variance per second.
	slopeProcessNoise = 0.02
	// maxGap is the time between reports, in seconds, after which the slope is
	// reset.
	maxGap = 4.0
	// minVariance keeps the variances above rounding errors.
	minVariance = 1e-6
)

// advance extrapolates the estimate to now.
func (s *SlackTrend) advance(now time.Time) {
	if s.updatedAt.IsZero() {
		s.level, s.levelVar, s.slopeVar = initialLevel, initialLevelVar, initialSlopeVar
		s.updatedAt = now
		return
	}
	dt := now.Sub(s.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	s.updatedAt = now
	if dt > maxGap {
		s.levelVar, s.slope, s.slopeVar, s.covariance = initialLevelVar, 0, initialSlopeVar, 0
		return
	}
	s.level += s.slope * dt
	s.levelVar += 2*dt*s.covariance + dt*dt*s.slopeVar + slopeProcessNoise*dt*dt*dt/3
	s.covariance += dt*s.slopeVar + slopeProcessNoise*dt*dt/2
	s.slopeVar += slopeProcessNoise * dt
	s.clampVariances()
}

// clampVariances bounds the variances by their initial values and the
// covariance by the variances.
func (s *SlackTrend) clampVariances() {
	s.levelVar = min(max(s.levelVar, minVariance), initialLevelVar)
	s.slopeVar = min(max(s.slopeVar, minVariance), initialSlopeVar)
	limit := math.Sqrt(s.levelVar * s.slopeVar)
	s.covariance = min(max(s.covariance, -limit), limit)
}

// observe updates the estimate with an observed level.
func (s *SlackTrend) observe(now time.Time, level, variance float64) {
	s.advance(now)
	total := s.levelVar + variance
	residual := level - s.level
	limit := maxDeviations * math.Sqrt(total)
	residual = min(max(residual, -limit), limit)
	gain, slopeGain := s.levelVar/total, s.covariance/total
	s.level += gain * residual
	s.slope += slopeGain * residual
	s.slopeVar -= slopeGain * s.covariance
	s.covariance -= gain * s.covariance
	s.levelVar -= gain * s.levelVar
	s.clampVariances()
}

// maxDeviations bounds the residual of an observation, in deviations, to limit
// the influence of outliers.
const maxDeviations = 3.0

// forecast returns the least level expected within the horizon, and its
// standard deviation. A falling level isn't expected to drop below floor, which
// is also the level of a trend without observations.
func (s *SlackTrend) forecast(now time.Time, horizon time.Duration, floor float64) (level, deviation float64) {
	if s == nil || s.updatedAt.IsZero() {
		return floor, math.Sqrt(initialLevelVar)
	}
	dt := now.Sub(s.updatedAt).Seconds()
	level = s.level + s.slope*dt
	variance := s.levelVar + 2*dt*s.covariance + dt*dt*s.slopeVar
	return level - s.expectedDrop(horizon, floor), math.Sqrt(min(max(variance, 0), initialLevelVar))
}

// expectedDrop returns by how much the level is expected to fall within the
// horizon, following its slope down to floor.
func (s *SlackTrend) expectedDrop(horizon time.Duration, floor float64) float64 {
	if s == nil || s.slope >= 0 {
		return 0
	}
	return min(-s.slope*horizon.Seconds(), max(s.level-floor, 0))
}
