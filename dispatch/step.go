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
	// class names what its tasks' tails depend on, empty unless they serve.
	class string
	// undone counts tasks that aren't done.
	undone int
	// idle counts undone tasks without a run.
	idle    int
	permits permits
	// tried is the count of changes of workers when a task of it last fitted
	// nowhere, allTriedAt when all workers were last considered for it.
	tried      uint64
	allTriedAt time.Time
	// blockedSince is since when a task of it has fitted nowhere, preemptNext
	// when others may give way to it again.
	blockedSince, preemptNext time.Time
	// blockedBy counts steps that must be done first.
	blockedBy int
}

// ready reports whether the step has tasks that may start.
func (s *step) ready() bool { return s.blockedBy == 0 && s.idle > 0 }

// taskDone marks a task as done and unblocks what depends on its step.
func (s *step) taskDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	t.saved = ""
	if len(t.runs) == 0 {
		s.idle--
	}
	s.undone--
	if s.undone > 0 {
		return
	}
	o := s.occurrence
	o.undone--
	for _, later := range o.steps {
		for _, before := range later.spec.After {
			if before == s.index {
				later.blockedBy--
			}
		}
	}
	if o.undone == 0 {
		s.job.unfinished--
	}
}

// onWorker counts the step's runs on a worker.
func (s *step) onWorker(w *worker) int {
	n := 0
	for _, r := range w.inOrder {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// began reports whether a task of the step that waits has run before.
func (s *step) began() bool {
	for i := range s.tasks {
		if t := &s.tasks[i]; t.began && len(t.runs) == 0 && !t.done {
			return true
		}
	}
	return false
}
