package workload

import "time"

// ExpiryFactor is the multiple of its objective after which a job's result has no value
// to its caller.
const ExpiryFactor = 3

// Objective returns the time within which a job with the given critical path should be
// complete.
func (q *Queue) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + q.Target
}
