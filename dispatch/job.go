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
	// durable is the newest state that the store holds.
	durable workload.State
	// rowStored is set once the job's own row is durable.
	rowStored bool
	// lasting jobs have long-running tasks and end only when cancelled.
	lasting bool
	// inherited jobs were accepted by an earlier owner, so runs of theirs may
	// exist at workers that haven't reported yet.
	inherited bool
	// accepted is the time of submission on the steady clock.
	accepted    time.Time
	path        []time.Duration
	occurrences []*occurrence
	// unfinished counts occurrences that aren't over.
	unfinished int
	overAt     time.Time
	// dirty is set while its progress isn't durable, urgent while somebody waits
	// for that.
	dirty, urgent bool
	ledger        TimeBreakdown
	// toldLost is set once it has been told that the job is past its use.
	toldLost bool
}

// occurrence is one repetition of a job's steps.
type occurrence struct {
	index  int
	due    time.Time
	steps  []*step
	undone int
}

// newJob lays out a job's tasks; the submission lies age before now.
func newJob(now time.Time, wallNow int64, spec *workload.Job, q workload.Queue) *job {
	age := max(wallNow-spec.Submitted, 0)
	j := &job{
		spec: spec, queue: q, path: spec.CriticalPath(),
		accepted: now.Add(-time.Duration(age) * time.Millisecond),
	}
	for i := range spec.Steps {
		j.lasting = j.lasting || spec.Steps[i].LongRunning
	}
	for k := range spec.Occurrences() {
		due := j.accepted
		if spec.Timed() {
			at := spec.FirstDue + int64(k)*spec.Interval.Milliseconds()
			due = now.Add(time.Duration(at-wallNow) * time.Millisecond)
		}
		j.occurrences = append(j.occurrences, newOccurrence(j, k, due))
	}
	j.unfinished = len(j.occurrences)
	return j
}

// newOccurrence lays out one occurrence, all of its tasks undone.
func newOccurrence(j *job, index int, due time.Time) *occurrence {
	o := &occurrence{index: index, due: due, undone: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		s := &step{job: j, occurrence: o, spec: spec, index: i, undone: spec.Tasks, idle: spec.Tasks}
		s.blockedBy = len(spec.After)
		if spec.Serving() {
			s.class = spec.Image + "/" + spec.TailTarget.String()
		}
		s.tasks = make([]task, spec.Tasks)
		for t := range s.tasks {
			s.tasks[t] = task{step: s, index: t}
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// criticalPath returns the longest estimated chain of one occurrence.
func (j *job) criticalPath() time.Duration {
	var longest time.Duration
	for _, d := range j.path {
		longest = max(longest, d)
	}
	return longest
}

// objective returns when an occurrence should be complete.
func (j *job) objective(o *occurrence) time.Time {
	return o.due.Add(time.Duration(j.queue.Stretch*float64(j.criticalPath())) + j.queue.Target)
}

// lateLimit returns when an occurrence is of no more use to its caller than
// one that never ends: three times the objective, from the users' accounting.
func (j *job) lateLimit(o *occurrence) time.Time {
	return o.due.Add(3 * j.objective(o).Sub(o.due))
}

// task returns the task of that name, nil if the job has none.
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

// eachTask calls f for every task of every occurrence.
func (j *job) eachTask(f func(*task)) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				f(&s.tasks[i])
			}
		}
	}
}
