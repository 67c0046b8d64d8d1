package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// step is one step of one occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	spec       *workload.Step
	index      int
	tasks      []task
	// class identifies the tail behavior of its serving tasks, by image and
	// tail target; empty if they don't serve.
	class string
	// expected is how long one of its tasks is expected to run.
	expected time.Duration
	// perPercent is the median of its tasks' times for one percent, in milliseconds, as
	// of perPercentAt; 0 if it isn't known.
	perPercent   float32
	perPercentAt time.Time
	// ranFor is the run time of all timedTasks tasks that were done in one run.
	ranFor     time.Duration
	timedTasks int
	// unfinishedTasks counts tasks that aren't done.
	unfinishedTasks int
	// idle counts unfinished tasks without a run.
	idle    int
	permits permits
	// triedAtChange is the change count at which a task of it last fitted
	// nowhere, allTriedAt when all workers were last considered.
	triedAtChange uint64
	allTriedAt    time.Time
	// blockedSince is when a task of it first fitted nowhere, nextPreempt when
	// it may preempt other runs again.
	blockedSince, nextPreempt time.Time
	// nextReclaim is when lent capacity may be reclaimed for it again.
	nextReclaim time.Time
	// otherCauseAt is when its tasks were last found to wait for something else than
	// capacity.
	otherCauseAt time.Time
	// blockedBy counts steps that must be done first.
	blockedBy int
}

// work returns the expected work of a number of the step's tasks, in core-milliseconds.
func (s *step) work(tasks int) int64 {
	return int64(tasks) * s.spec.Needs.MilliCPU * s.expected.Milliseconds() / 1000
}

// remainingWork returns the expected work of all unfinished tasks, in core-milliseconds.
func (o *occurrence) remainingWork() int64 {
	var sum int64
	for _, st := range o.steps {
		sum += st.work(st.unfinishedTasks)
	}
	return sum
}

// ready reports whether the step has tasks that may start.
func (s *step) ready() bool { return s.blockedBy == 0 && s.idle > 0 }

// markDone marks a task as done and unblocks the steps that depend on its step.
func (s *step) markDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	t.checkpoint = ""
	if len(t.runs) == 0 {
		s.idle--
	}
	s.unfinishedTasks--
	if s.unfinishedTasks > 0 {
		return
	}
	o := s.occurrence
	o.unfinishedSteps--
	for _, later := range o.steps {
		for _, before := range later.spec.After {
			if before == s.index {
				later.blockedBy--
			}
		}
	}
	if o.unfinishedSteps == 0 {
		s.job.unfinishedOccurrences--
	}
}

// onWorker counts the step's runs on a worker.
func (s *step) onWorker(w *worker) int {
	n := 0
	for _, r := range w.runsByNumber {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// waitsForRestart reports whether a task of the step that waits has run before.
func (s *step) waitsForRestart() bool {
	for i := range s.tasks {
		if t := &s.tasks[i]; t.started && len(t.runs) == 0 && !t.done {
			return true
		}
	}
	return false
}
