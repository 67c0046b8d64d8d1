package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// recordEnds applies and returns the ends that are new.
func (s *State) recordEnds(now time.Time, w *worker, ends []runner.RunEnd) []runner.RunEnd {
	var newEnds []runner.RunEnd
	for _, e := range ends {
		if w.ends.has(e.Number) {
			if r := w.runs[e.Task]; r == nil || r.number != e.Run {
				continue
			}
			s.find(EndSkipped, w, e.Task, e.Run, e.Number) // the number is wrong, the run has ended
		} else {
			w.ends.add(e.Number)
		}
		s.recordEnd(now, w, e)
		newEnds = append(newEnds, e)
	}
	w.ends.settle(ends)
	return newEnds
}

// recordEnd applies one end. Ends of runs started by an earlier owner count
// too.
func (s *State) recordEnd(now time.Time, w *worker, e runner.RunEnd) {
	if r := w.runs[e.Task]; r != nil && r.number == e.Run {
		if e.Kind == runner.EndDone {
			s.observeEnd(now, r)
			s.learnRunTime(r.task.step, now.Sub(r.startedAt), len(r.task.endedRuns) == 0 && !w.pace.Slow())
		}
		if r.task.step.spec.BestEffort {
			w.rememberEnded(now, r)
		}
		s.releaseRun(now, r, EndReported)
	}
	t := s.taskByID(e.Task)
	if t == nil && s.HasJob(e.Task.Job) {
		return // its job has ended
	}
	if t == nil {
		s.find(EndOfUnknownTask, w, e.Task, e.Run, e.Number)
		s.recordUnreadable(&e)
		return
	}
	j := t.step.job
	t.recordEnded(e.Run)
	if t.done || j.state.Final() {
		return
	}
	s.markStarted(j)
	t.started = true // the start may be one of an earlier owner that no row tells
	if t.ranBefore.evidence == NoPriorRun {
		t.recordOver(now, EndReported, w.info.ID, e.Run)
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	switch e.Kind {
	case runner.EndDone:
		w.health.recordSuccess()
		s.Stats.Done++
		s.taskDone(now, t)
	case runner.EndFailed:
		w.health.recordFailure(now)
		s.Stats.FailedRuns++
		s.taskFailed(now, w, t, e.Run)
	case runner.EndStopped:
		s.Stats.StoppedRuns++
	case runner.EndExpired:
		s.Stats.ExpiredRuns++
	default:
	}
}

// taskDone handles the successful end of a run: it completes the task, or all
// tasks of its gang, and then the job if nothing else is unfinished.
func (s *State) taskDone(now time.Time, t *task) {
	st := t.step
	if st.spec.LongRunning {
		return // restarted however it ends
	}
	s.markDirty(st.job)
	if st.spec.Gang {
		for i := range st.tasks {
			s.completeTask(now, &st.tasks[i])
		}
	} else {
		s.completeTask(now, t)
	}
	if st.job.unfinishedOccurrences == 0 {
		s.finish(now, st.job, workload.Complete)
		s.Stats.Completed++
	}
}

// completeTask marks a task done and stops its other runs.
func (s *State) completeTask(now time.Time, t *task) {
	if !t.done {
		s.backlogs.taskCompleted(now, t.step)
	}
	t.step.markDone(t)
	if t.step.spec.Gang {
		return // the rest of the gang ends by itself
	}
	for _, r := range slices.Clone(t.runs) {
		s.orderStop(now, r, TaskDone)
	}
}

// taskFailed records a failed run and its worker, which the task avoids from then
// on, and fails the job once the task has used up its attempts. A gang counts as
// one task.
func (s *State) taskFailed(now time.Time, w *worker, t *task, number uint64) {
	t.failedOn = append(t.failedOn, w.info.ID)
	s.countFailure(now, t, number)
}

// countFailure counts a failed run as an attempt, once.
func (s *State) countFailure(now time.Time, t *task, number uint64) {
	if t.step.spec.LongRunning {
		return
	}
	counted := t
	if t.step.spec.Gang {
		counted = &t.step.tasks[0]
	}
	for _, n := range counted.failed {
		if n == number {
			return
		}
	}
	counted.failed = append(counted.failed, number)
	j := t.step.job
	s.markDirty(j)
	if len(counted.failed) >= j.queue.MaxAttempts {
		j.reason = fmt.Sprintf("task %v failed %d times", t.id(), len(counted.failed))
		s.finish(now, j, workload.Failed)
		s.Stats.Failed++
	}
}
