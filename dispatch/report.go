package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// HandleReport takes in a worker's answer to a renewal. It returns the ends that are
// new: a worker lists each until it is durable, which takes as long as the
// store is away.
func (s *State) HandleReport(now time.Time, id string, sent runner.Renewal, a runner.Answer, rep runner.Report) []runner.RunEnd {
	w := s.workers[id]
	if w == nil {
		return nil
	}
	w.tick(now, a.ClockMS)
	switch a.Status {
	case runner.Done:
	case runner.Restarted:
		s.HandleRestart(now, id)
		return nil
	default:
		s.unheard(now, w)
		w.answersAt = now
		return nil
	}
	w.heard()
	w.answersAt = now
	s.changed(w)
	w.tokenSeen = max(w.tokenSeen, sent.Token)
	ends := s.takeEnds(now, w, rep.Ends)
	s.takeActive(now, w, rep.Active)
	s.learnTails(now, w)
	if len(rep.Ends) < runner.MaxEnds {
		s.settleUncertain(w, sent.Token, rep.Active)
		s.firstReport(w)
	}
	s.askAgain(w)
	return ends
}

// askAgain raises the token once more if a start that carried the newest one
// got no answer.
func (s *State) askAgain(w *worker) {
	for _, r := range w.inOrder {
		if r.phase == uncertain && r.token == w.token {
			s.raiseToken(w)
			return
		}
	}
}

// firstReport notes that the worker has said what is alive there. An earlier
// owner's orders do nothing from now on, and none of them gave a lease that
// goes further than one given at this moment.
func (s *State) firstReport(w *worker) {
	if w.reported {
		return
	}
	w.reported = true
	w.leaseUntil = max(w.leaseUntil, w.clock+s.cfg.Lease.Milliseconds())
	delete(s.awaited, w.info.ID)
}

// takeEnds takes in the ends that weren't seen before, and returns them.
func (s *State) takeEnds(now time.Time, w *worker, ends []runner.RunEnd) []runner.RunEnd {
	var fresh []runner.RunEnd
	for _, e := range ends {
		if e.Number <= w.seen {
			continue
		}
		w.seen = e.Number
		s.takeEnd(now, w, e)
		fresh = append(fresh, e)
	}
	return fresh
}

// takeEnd takes in one end. Ends of runs that an earlier owner started count
// as those of our own.
func (s *State) takeEnd(now time.Time, w *worker, e runner.RunEnd) {
	if r := w.runs[e.Task]; r != nil && r.number == e.Run {
		if r.task.step.spec.BestEffort {
			w.noteLeaving(now, r)
		}
		s.release(r)
	}
	j := s.jobs[e.Task.Job]
	if j == nil {
		return
	}
	t := j.task(e.Task)
	if t == nil {
		return
	}
	t.endedRun = max(t.endedRun, e.Run)
	if t.done || j.state.Final() {
		return
	}
	s.begin(j)
	if e.Checkpoint != "" {
		t.saved = e.Checkpoint
	}
	switch e.Kind {
	case runner.EndDone:
		w.health.done()
		s.Stats.Done++
		s.taskDone(now, t)
	case runner.EndFailed:
		w.health.failed(now)
		s.Stats.FailedRuns++
		s.taskFailed(now, w, t, e.Run)
	case runner.EndStopped:
		s.Stats.StoppedRuns++
	case runner.EndExpired:
		s.Stats.ExpiredRuns++
	default:
	}
}

// taskDone takes in that a run of the task finished its work.
func (s *State) taskDone(now time.Time, t *task) {
	st := t.step
	if st.spec.LongRunning {
		return // restarted however it ends
	}
	s.touch(st.job)
	if st.spec.Gang {
		for i := range st.tasks {
			s.settleTask(now, &st.tasks[i])
		}
	} else {
		s.settleTask(now, t)
	}
	if st.job.unfinished == 0 {
		s.finish(now, st.job, workload.Complete)
		s.Stats.Completed++
	}
}

// settleTask marks a task done and stops copies of it.
func (s *State) settleTask(now time.Time, t *task) {
	t.step.taskDone(t)
	if t.step.spec.Gang {
		return // the rest of the gang ends by itself
	}
	for _, r := range t.runs {
		s.stop(now, r, TaskDone)
	}
}

// taskFailed counts a failed run; a job whose task has used up its attempts
// has failed. A gang counts as one task.
func (s *State) taskFailed(now time.Time, w *worker, t *task, number uint64) {
	t.failedOn = append(t.failedOn, w.info.ID)
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
	s.touch(j)
	if len(counted.failed) >= j.queue.MaxAttempts {
		s.finish(now, j, workload.Failed)
		s.Stats.Failed++
	}
}

// takeActive takes in what is at work.
func (s *State) takeActive(now time.Time, w *worker, active []runner.ActiveRun) {
	for i := range active {
		a := &active[i]
		r := w.runs[a.Task]
		if r == nil || r.number != a.Run {
			r = s.adopt(now, w, a)
		}
		if r == nil {
			continue
		}
		r.confirm()
		r.percent, r.usage = a.Percent, a.Usage
		if a.Checkpoint != "" {
			r.saved = a.Checkpoint
			r.task.saved = a.Checkpoint
		}
		switch {
		case r.task.step.job.state.Final():
			s.stop(now, r, JobEnded)
		case r.task.done:
			s.stop(now, r, TaskDone)
		case r.phase == stopping:
			// Its stop got lost or was refused. Left alone it would go on: a
			// filler beside those it disturbs, a duplicate beside its twin, a
			// long-running task on a worker that leaves.
			s.stop(now, r, r.stopCause)
		}
	}
}

// adopt takes over a run that this owner didn't start. A run that shouldn't
// be there is stopped; nil if nothing is known of its task.
func (s *State) adopt(now time.Time, w *worker, a *runner.ActiveRun) *run {
	j := s.jobs[a.Task.Job]
	var t *task
	if j != nil {
		t = j.task(a.Task)
	}
	if t != nil && a.Run <= t.endedRun {
		return nil // a report that was overtaken by that of its end
	}
	if t == nil {
		s.stops = append(s.stops, StopOrder{
			Worker: w.info, Stop: runner.Stop{Task: a.Task, Run: a.Run, Token: w.token},
			Cause: UnknownTask, Snapshot: w.evidence(now),
		})
		return nil
	}
	if old := w.runs[a.Task]; old != nil {
		s.release(old) // a worker has one run of a task at a time
	}
	s.begin(j)
	r := &run{
		task: t, number: a.Run, token: w.token, worker: w, phase: running,
		confirmed: true, since: now, reserved: t.step.spec.Reserved(), pace: fullPace,
		paceOpen: t.step.spec.BestEffort, // an earlier owner may have slowed it
	}
	w.add(r)
	t.attach(r)
	if len(t.runs) > 1 && !t.step.spec.Speculative {
		s.stop(now, r, Duplicate)
	}
	return r
}

// settleUncertain resolves starts that got no answer: a worker that has
// answered under a higher token never carries them out, so those that it
// doesn't report never ran.
func (s *State) settleUncertain(w *worker, token uint64, active []runner.ActiveRun) {
	for _, r := range slices.Clone(w.inOrder) {
		if r.phase != uncertain || r.token >= token {
			continue
		}
		id, reported := r.task.id(), false
		for i := range active {
			reported = reported || (active[i].Task == id && active[i].Run == r.number)
		}
		if !reported {
			s.release(r)
		}
	}
}
