package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
)

const (
	// arrivalQuietPeriod is the time without further long-running jobs after
	// which the waiting ones start.
	arrivalQuietPeriod = 100 * time.Millisecond
	// arrivalMaxWait is the longest time that a job waits for others.
	arrivalMaxWait = 400 * time.Millisecond
)

// waitsForArrivals reports whether the job's long-running tasks wait for other
// jobs that arrive at the same time, so that the queue can order all of them
// and place tasks limited per worker first.
func (s *State) waitsForArrivals(now time.Time, j *job) bool {
	if s.cfg.Disabled.Has(mechanism.SpreadFirst) {
		return false
	}
	return j.longRunning && !j.inherited && now.Sub(s.longRunningAcceptedAt) < arrivalQuietPeriod && now.Sub(j.submittedAt) < arrivalMaxWait
}
