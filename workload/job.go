package workload

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Limits that Validate enforces.
const (
	// MaxSteps is the largest number of steps of one job.
	MaxSteps = 64
	// MaxTasks is the largest number of tasks of one job over all steps and
	// occurrences. It bounds the job's state at the owner and the rows of its progress.
	MaxTasks = 20_000
	// MaxRepeats is the largest number of occurrences of one job.
	MaxRepeats = 10_000
)

// Job is a set of steps that a caller submits, run once or repeatedly.
type Job struct {
	// ID is the caller's idempotency key.
	ID string `msgpack:"i"`
	// Queue is the queue that the job was submitted to.
	Queue string `msgpack:"q"`
	// Payload is passed unchanged to each task.
	Payload string `msgpack:"p"`
	// Steps are in dependency order: a step depends only on earlier ones.
	Steps []Step `msgpack:"s"`
	// Repeats is the number of scheduled occurrences; 0 runs the steps once,
	// immediately.
	Repeats int `msgpack:"r,omitempty"`
	// FirstDue is when occurrence 0 is due, in Unix milliseconds.
	FirstDue int64 `msgpack:"f,omitempty"`
	// Interval is the time between consecutive occurrences.
	Interval time.Duration `msgpack:"n,omitempty"`
	// Submitted is when the entry host received the request, in Unix
	// milliseconds.
	Submitted int64 `msgpack:"t"`
}

// Occurrences returns the number of times the steps run, at least one.
func (j *Job) Occurrences() int { return max(j.Repeats, 1) }

// TotalTasks returns the number of tasks over all steps and occurrences.
func (j *Job) TotalTasks() int { return j.tasksPerOccurrence() * j.Occurrences() }

func (j *Job) tasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Tasks
	}
	return n
}

// TaskAt returns the ID of the task at a position, from 0 to below TotalTasks, in the order of
// occurrences, steps and indexes.
func (j *Job) TaskAt(position int) TaskID {
	each := j.tasksPerOccurrence()
	id := TaskID{Job: j.ID, Occurrence: position / each, Index: position % each}
	for id.Index >= j.Steps[id.Step].Tasks {
		id.Index -= j.Steps[id.Step].Tasks
		id.Step++
	}
	return id
}

// Timed reports whether the job's occurrences have due times.
func (j *Job) Timed() bool { return j.Repeats > 0 }

// Validate returns an error for the first limit or dependency rule that the
// job violates.
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

// CriticalPath returns, for each step, the duration of the longest chain of dependent
// steps that starts with it, where a step takes what duration returns.
func (j *Job) CriticalPath(duration func(*Step) time.Duration) []time.Duration {
	path := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		path[i] += duration(&j.Steps[i])
		for _, dependency := range j.Steps[i].After {
			path[dependency] = max(path[dependency], path[i])
		}
	}
	return path
}
