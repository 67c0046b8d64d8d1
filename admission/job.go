package admission

import (
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// Job is what admission knows of a submitted job.
type Job struct {
	// Submitted is when the job was first submitted.
	Submitted time.Time
	// CriticalPath is its expected run time with unlimited capacity.
	CriticalPath time.Duration
	// Objective is when it should be complete, Expiry from when its result is useless.
	Objective, Expiry time.Time
	// Work is its expected work, in core-milliseconds. It only spreads the retries of
	// refused callers; the decision doesn't depend on it.
	Work int64
}

// Exempt reports whether a job is always accepted: it has due times, long-running tasks or
// no latency objective.
func Exempt(spec *workload.Job, q *workload.Queue) bool {
	if spec.Timed() || !HasObjective(q) {
		return true
	}
	for i := range spec.Steps {
		if spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// HasObjective reports whether the jobs of a queue have a latency objective.
func HasObjective(q *workload.Queue) bool { return q.Stretch > 0 || q.Target > 0 }

// NewJob describes a job submitted to a queue. expected returns how long a step's tasks
// are expected to run; now and wallNow are the current time on the monotonic clock and,
// in milliseconds, on the wall clock.
func NewJob(now time.Time, wallNow int64, spec *workload.Job, q *workload.Queue, expected func(*workload.Step) time.Duration) Job {
	j := Job{Submitted: now}
	if spec.Submitted > 0 {
		j.Submitted = now.Add(-time.Duration(max(wallNow-spec.Submitted, 0)) * time.Millisecond)
	}
	for _, d := range spec.CriticalPath(expected) {
		j.CriticalPath = max(j.CriticalPath, d)
	}
	for i := range spec.Steps {
		st := &spec.Steps[i]
		j.Work += int64(st.Tasks) * st.Needs.MilliCPU * expected(st).Milliseconds() / 1000
	}
	objective := q.Objective(j.CriticalPath)
	j.Objective = j.Submitted.Add(objective)
	j.Expiry = j.Submitted.Add(workload.ExpiryFactor * objective)
	return j
}
