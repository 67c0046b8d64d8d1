package workload

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of a job that is accepted.
const (
	// MaxSteps bounds the steps of one job.
	MaxSteps = 64
	// MaxTasks bounds the tasks of one job over all its steps, so that the
	// record of its progress fits one row of the table service.
	MaxTasks = 20_000
	// MaxRepeats bounds the occurrences of one job.
	MaxRepeats = 10_000
)

// Job is what a caller submits: steps of tasks, run once or repeatedly.
type Job struct {
	// ID is chosen by the caller; the same ID is the same job.
	ID string `msgpack:"i"`
	// Queue is the queue that the job was submitted to.
	Queue string `msgpack:"q"`
	// Payload is handed to each task as it is.
	Payload string `msgpack:"p"`
	// Steps are the parts of the job, each started when those it depends on
	// are done.
	Steps []Step `msgpack:"s"`
	// Repeats is how many times the steps run; 0 means once, at once.
	Repeats int `msgpack:"r,omitempty"`
	// FirstDue is the time of day at which occurrence 0 is due, in
	// milliseconds since 1970.
	FirstDue int64 `msgpack:"f,omitempty"`
	// Interval is the time between two occurrences.
	Interval time.Duration `msgpack:"n,omitempty"`
	// Submitted is when the entry host had read the request, in milliseconds
	// since 1970 by its time of day.
	Submitted int64 `msgpack:"t"`
}

// Occurrences returns how many times the steps run, at least one.
func (j *Job) Occurrences() int { return max(j.Repeats, 1) }

// Timed reports whether the job's occurrences have due times.
func (j *Job) Timed() bool { return j.Repeats > 0 }

// Validate reports the first reason why the job can't be run as written.
func (j *Job) Validate() error {
	if j.ID == "" {
		return errors.New("job has no ID")
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Newf("job has %d steps, want 1 to %d", len(j.Steps), MaxSteps)
	}
	if j.Repeats < 0 || j.Repeats > MaxRepeats {
		return errors.Newf("job repeats %d times, want 0 to %d", j.Repeats, MaxRepeats)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
		tasks += j.Steps[i].Tasks
	}
	if tasks*j.Occurrences() > MaxTasks {
		return errors.Newf("job has %d tasks in all, want at most %d", tasks*j.Occurrences(), MaxTasks)
	}
	return nil
}

// CriticalPath returns, for each step, the estimated time from its start to
// the end of the longest chain of steps that begins with it.
func (j *Job) CriticalPath() []time.Duration {
	path := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		path[i] += j.Steps[i].Estimate
		for _, before := range j.Steps[i].After {
			path[before] = max(path[before], path[i])
		}
	}
	return path
}
