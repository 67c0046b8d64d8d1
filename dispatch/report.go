package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

// HandleReport applies a worker's answer to a renewal and returns the ends that
// are new. A worker lists each end until it is acknowledged.
func (s *State) HandleReport(now time.Time, id string, sent runner.Renewal, a runner.Answer, rep runner.Report) []runner.RunEnd {
	w := s.workers[id]
	if w == nil {
		return nil
	}
	w.polledAt, w.answerWanted = now, false
	if s.originOf(now, w, sent.To, a) != currentLife || sent.To.Life != w.number {
		return nil // the next poll gets the runs of the new life
	}
	w.setClock(now, a.ClockMS)
	switch {
	case a.Status == runner.Done:
	case a.Status == runner.Restarted:
		s.HandleRestart(now, id)
		return nil
	case a.Status == runner.Fenced && !s.recordFenced(now, w, sent.Token):
		w.markResponsive() // only the poll is outdated
		return nil
	default:
		s.markUnresponsive(now, w)
		return nil
	}
	w.markResponsive()
	w.refusesWrongly, w.refusedAt = false, time.Time{}
	s.forgetCrashOf(w)
	s.markChanged(w)
	w.tokenSeen = max(w.tokenSeen, sent.Token)
	if sent.To.At.After(w.acceptedAt) {
		w.acceptedAt = sent.To.At
	}
	w.delivered = max(w.delivered, sent.Acknowledged)
	ends := s.recordEnds(now, w, rep.Ends)
	s.recordActive(now, w, rep.Active)
	s.learnFromTails(now, w)
	w.paceReportAt, w.reportWanted = now, false
	if len(rep.Ends) < runner.MaxEnds {
		s.findOmitted(w, &sent, &rep)
		s.endEarlierLives(now, w)
		s.resolveUncertain(now, w, sent.Token, rep.Active)
		s.markReported(now, w)
	}
	s.raiseTokenIfUncertain(w)
	return ends
}

// raiseTokenIfUncertain raises the token once more if a start under the newest
// one got no answer.
func (s *State) raiseTokenIfUncertain(w *worker) {
	for _, r := range w.runsByNumber {
		if r.phase == uncertain && s.raiseToken(w, r.token) {
			return
		}
	}
}

// markReported records the first report to this owner. Orders of an earlier
// owner have no effect from now on, and none gave a lease longer than longestLease from now.
func (s *State) markReported(now time.Time, w *worker) {
	if w.reported {
		return
	}
	w.reported = true
	s.markLeased(w)
	w.extendLease(w.clockLowerBound(now) + s.longestLease().Milliseconds())
	if s.awaitingReport[w.info.ID] != nil {
		s.roster.reported++
	}
	delete(s.awaitingReport, w.info.ID)
	delete(s.inheritedRuns, w.hash)
}

// recordActive updates the runs that a worker reports as alive, and adopts those
// that this owner didn't start. It orders runs to stop that are no longer needed
// or whose last stop had no effect.
func (s *State) recordActive(now time.Time, w *worker, active []runner.ActiveRun) {
	w.unknownRun = false
	speed := s.paceReport(now, w)
	for i := range active {
		a := &active[i]
		r := w.runs[a.Task]
		if r == nil || r.number != a.Run {
			r = s.adopt(now, w, a)
		}
		if r == nil {
			continue
		}
		r.life = w.number
		r.markConfirmed(now)
		s.markStarted(r.task.step.job)
		if r.unproven() {
			s.markDirty(r.task.step.job) // a later owner must not take it for one that has just started
		}
		r.markReported()
		if r.task.crashed() && now.Sub(r.startedAt) >= provenAfter {
			s.clearCrashes(r.task)
		}
		if speed.valid(a) {
			r.percent, r.usage = a.Percent, a.Usage
			speed.observe(r)
		}
		if a.Checkpoint != "" {
			r.checkpoint = a.Checkpoint
			r.task.checkpoint = a.Checkpoint
		}
		switch {
		case r.task.step.job.state.Final():
			s.orderStop(now, r, JobEnded)
		case r.task.done:
			s.orderStop(now, r, TaskDone)
		case r.phase == stopping:
			// The stop was lost or refused; without another one the run would
			// go on.
			s.orderStop(now, r, r.stopCause)
		}
	}
}

// adopt adds a run that this owner didn't start, and stops it if it is a
// duplicate. It returns nil for a run that is known to have ended, and for a run
// of an unknown task, which it stops.
func (s *State) adopt(now time.Time, w *worker, a *runner.ActiveRun) *run {
	t := s.taskByID(a.Task)
	if t != nil && t.hasEnded(a.Run) {
		return nil // this report was sent before that of its end
	}
	if t == nil {
		w.unknownRun = true
		s.stops = append(s.stops, StopOrder{
			Worker: w.info, To: w.addressee(now), Stop: runner.Stop{Task: a.Task, Run: a.Run, Token: w.token},
			Cause: UnknownTask, Snapshot: w.snapshot(now),
		})
		return nil
	}
	if old := w.runs[a.Task]; old != nil {
		s.releaseRun(now, old, ReplacedThere) // a worker has one run of a task at a time
	}
	s.markStarted(t.step.job)
	r := &run{
		task: t, number: a.Run, token: w.token, worker: w, life: w.number, phase: running,
		confirmed: true, confirmedAt: now, reported: true, startedAt: now, reserved: t.step.spec.Reserved(), cpuLimit: fullCPU,
		cpuLimitUnconfirmed: t.step.spec.BestEffort, // an earlier owner may have limited it
	}
	w.limitUnconfirmed = w.limitUnconfirmed || r.cpuLimitUnconfirmed
	w.addRun(r)
	t.attach(r)
	if len(t.runs) > 1 && !t.step.spec.Speculative {
		s.orderStop(now, r, Duplicate)
	}
	return r
}

// resolveUncertain releases starts without an answer that the worker doesn't
// report. It has answered under a higher token, so they can't be carried out
// any more.
func (s *State) resolveUncertain(now time.Time, w *worker, token uint64, active []runner.ActiveRun) {
	for _, r := range slices.Clone(w.runsByNumber) {
		if r.phase != uncertain || r.token >= token {
			continue
		}
		id, reported := r.task.id(), false
		for i := range active {
			reported = reported || (active[i].Task == id && active[i].Run == r.number)
		}
		if !reported {
			s.releaseRun(now, r, StartFenced)
		}
	}
}
