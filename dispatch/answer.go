package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/runner"
)

// HandleStartAnswer takes in what became of a start. It reports whether the
// worker must be asked under a higher token what became of it.
func (s *State) HandleStartAnswer(now time.Time, o StartOrder, a runner.Answer) (resolve bool) {
	w := s.workers[o.Worker.ID]
	if w == nil {
		return false
	}
	w.tick(now, a.ClockMS)
	r := w.runs[o.Start.Task]
	if r == nil || r.number != o.Start.Run || r.confirmed || r.phase == uncertain {
		return false // a report was faster
	}
	// The run may have been ordered to stop meanwhile. Where its start came to
	// nothing there is no end to wait for, and the reservation would stay.
	switch a.Status {
	case runner.Done:
		r.confirm()
		s.begin(r.task.step.job)
		s.Stats.Starts++
	case runner.Unknown:
		s.Stats.StartsUnknown++
		r.phase = uncertain
		s.unheard(now, w)
		return s.raiseToken(w)
	case runner.Restarted:
		s.HandleRestart(now, w.info.ID)
	default:
		s.Stats.StartsRefused++
		s.refused(now, w, r, a.Status)
	}
	return false
}

// refused gives back what a start that never ran had reserved, and keeps new
// tasks from the worker for as long as the reason may last.
func (s *State) refused(now time.Time, w *worker, r *run, why runner.Status) {
	s.release(r)
	switch why {
	case runner.NoPermit:
		r.task.step.dropTicket(w)
	case runner.NoCapacity:
		if !s.cfg.Disabled.Has(mechanism.NoCapacityPause) {
			w.pausedUntil = now.Add(s.cfg.NoCapacityPause)
		}
	case runner.Unhealthy, runner.Invalid:
		w.pausedUntil = now.Add(unhealthyPause)
	default:
	}
}

// raiseToken makes every order given so far that hasn't been carried out
// void, once the worker has seen the new token.
func (s *State) raiseToken(w *worker) bool {
	if w.token != w.tokenSeen {
		return false // raised already
	}
	w.token++
	s.topToken = max(s.topToken, w.token)
	return true
}

// HandleStopAnswer takes in what became of a stop; the end itself comes with a
// report.
func (s *State) HandleStopAnswer(now time.Time, o StopOrder, a runner.Answer) {
	w := s.workers[o.Worker.ID]
	if w == nil {
		return
	}
	w.tick(now, a.ClockMS)
	if a.Status == runner.Restarted {
		s.HandleRestart(now, w.info.ID)
	}
}

// HandleCPULimitAnswer takes in what became of a change of pace.
func (s *State) HandleCPULimitAnswer(o CPULimitOrder, a runner.Answer) {
	w := s.workers[o.Worker.ID]
	if w == nil || a.Status == runner.Done {
		return
	}
	if r := w.runs[o.CPULimit.Task]; r != nil && r.number == o.CPULimit.Run && r.pace == o.CPULimit.Percent {
		r.paceOpen = true
	}
}
