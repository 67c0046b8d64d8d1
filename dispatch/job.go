package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// job is an accepted job and its progress.
type job struct {
	spec  *workload.Job
	queue workload.Queue
	state workload.State
	// reason is why the job has failed, empty if it hasn't.
	reason string
	// durable is the newest state in the store.
	durable workload.State
	// rowStored is set once the job's own row is durable.
	rowStored bool
	// collected is set once a batch contains the job. The batch may be sent, and
	// applied, at any time from then on.
	collected bool
	// hasEndsRow is set while the store has a row of ends that was applied to the job.
	hasEndsRow bool
	// pages tells of the rows that hold its progress where one row can't.
	pages progressPages
	// aside is set while the table service rejects its progress.
	aside setAside
	// oversized is set if, as it was accepted, one of its steps needed more than any worker
	// of its pool has. It waits for a larger worker, and not for capacity.
	oversized bool
	// longRunning is set for jobs with long-running tasks, which end only when
	// cancelled.
	longRunning bool
	// inherited is set for jobs accepted by an earlier owner. Workers that
	// haven't reported yet may hold runs of them.
	inherited bool
	// submittedAt is the time of submission on the monotonic clock.
	submittedAt   time.Time
	criticalPaths []time.Duration
	occurrences   []*occurrence
	// unfinishedOccurrences counts occurrences with unfinished steps.
	unfinishedOccurrences int
	finishedAt            time.Time
	// idleSince is when a planning cycle first found it without a run at work, zero if it had
	// one. Only jobs with waiting best-effort tasks are looked at.
	idleSince time.Time
	// shared is its queue in a pool with guaranteed shares, nil in other pools, as of
	// sharedVersion of the shares.
	shared        *sharedQueue
	sharedVersion uint64
	// dirty is set while the job's progress isn't durable, urgent while a
	// caller waits for that.
	dirty, urgent bool
	breakdown     TimeBreakdown
	// expiryReported is set once the job has been reported as expired.
	expiryReported bool
}

// occurrence is one repetition of a job's steps.
type occurrence struct {
	index           int
	due             time.Time
	steps           []*step
	unfinishedSteps int
	// totalWork is the expected work of all tasks, in core-milliseconds.
	totalWork int64
}

// newJob returns the state of a submitted job. expected returns how long a step's tasks
// are expected to run; now and wallNow are the current
// time on the monotonic clock and, in milliseconds, on the wall clock.
func newJob(now time.Time, wallNow int64, spec *workload.Job, q workload.Queue, expected func(*workload.Step) time.Duration) *job {
	age := max(wallNow-spec.Submitted, 0)
	j := &job{
		spec: spec, queue: q, criticalPaths: spec.CriticalPath(expected),
		submittedAt: now.Add(-time.Duration(age) * time.Millisecond),
	}
	for i := range spec.Steps {
		j.longRunning = j.longRunning || spec.Steps[i].LongRunning
	}
	for k := range spec.Occurrences() {
		due := j.submittedAt
		if spec.Timed() {
			at := spec.FirstDue + int64(k)*spec.Interval.Milliseconds()
			due = now.Add(time.Duration(at-wallNow) * time.Millisecond)
		}
		j.occurrences = append(j.occurrences, newOccurrence(j, k, due, expected))
	}
	j.unfinishedOccurrences = len(j.occurrences)
	return j
}

// newOccurrence returns an occurrence whose tasks are all unfinished.
func newOccurrence(j *job, index int, due time.Time, expected func(*workload.Step) time.Duration) *occurrence {
	o := &occurrence{index: index, due: due, unfinishedSteps: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		s := &step{job: j, occurrence: o, spec: spec, index: i, unfinishedTasks: spec.Tasks, idle: spec.Tasks, expected: expected(spec)}
		s.blockedBy = len(spec.After)
		if spec.Serving() {
			s.class = spec.Image + "/" + spec.TailTarget.String()
		}
		s.tasks = make([]task, spec.Tasks)
		for t := range s.tasks {
			s.tasks[t] = task{step: s, index: t}
		}
		o.steps = append(o.steps, s)
		o.totalWork += s.work(spec.Tasks)
	}
	return o
}

// criticalPath returns the longest estimated chain of steps of one occurrence.
func (j *job) criticalPath() time.Duration {
	var longest time.Duration
	for _, d := range j.criticalPaths {
		longest = max(longest, d)
	}
	return longest
}

// objective returns when an occurrence should be complete.
func (j *job) objective(o *occurrence) time.Time {
	return o.due.Add(j.queue.Objective(j.criticalPath()))
}

// expiry returns the time from which a completed occurrence has no value to its
// caller: three times as long after its due time as its objective.
func (j *job) expiry(o *occurrence) time.Time {
	return o.due.Add(workload.ExpiryFactor * j.objective(o).Sub(o.due))
}

// task returns a task by its ID, or nil if the job has no such task.
func (j *job) task(id workload.TaskID) *task {
	if id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if id.Step < 0 || id.Step >= len(o.steps) {
		return nil
	}
	s := o.steps[id.Step]
	if id.Index < 0 || id.Index >= len(s.tasks) {
		return nil
	}
	return &s.tasks[id.Index]
}

func (j *job) eachTask(f func(*task)) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				f(&s.tasks[i])
			}
		}
	}
}
