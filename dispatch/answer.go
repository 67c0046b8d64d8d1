package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/runner"
)

// HandleStartAnswer applies the answer to a start order. It returns true if the
// caller must poll the worker under a raised token to learn whether the start
// was carried out.
func (s *State) HandleStartAnswer(now time.Time, o StartOrder, a runner.Answer) (resolve bool) {
	w := s.workers[o.Worker.ID]
	if w == nil {
		return false
	}
	w.setClock(now, a.ClockMS)
	if a.Status == runner.Fenced {
		s.recordFenced(now, w, o.Start.Token)
	}
	r := w.runs[o.Start.Task]
	if r == nil || r.number != o.Start.Run || r.confirmed || r.phase == uncertain {
		return false // a report has already resolved this start
	}
	// The run may have been ordered to stop meanwhile. A start that was never
	// carried out reports no end, so its reservation is released here.
	switch a.Status {
	case runner.Done:
		r.markConfirmed(now)
		s.markStarted(r.task.step.job)
		s.Stats.Starts++
	case runner.Unknown:
		s.Stats.StartsUnknown++
		r.phase = uncertain
		s.markUnresponsive(now, w)
		return s.raiseToken(w)
	case runner.Restarted:
		s.HandleRestart(now, w.info.ID)
	case runner.NotSent:
		s.Stats.StartsRefused++
		s.releaseRun(now, r, NotSent)
	default:
		s.Stats.StartsRefused++
		s.handleRefusal(now, w, r, a.Status)
	}
	return false
}

// handleRefusal releases the reservation of a refused start and, depending on
// the reason, keeps new tasks off the worker for a while.
func (s *State) handleRefusal(now time.Time, w *worker, r *run, status runner.Status) {
	s.releaseRun(now, r, StartRefused)
	switch status {
	case runner.NoPermit:
		r.task.step.dropPermit(w)
	case runner.NoCapacity:
		if !s.cfg.Disabled.Has(mechanism.NoCapacityPause) {
			w.pausedUntil = now.Add(s.cfg.NoCapacityPause)
		}
	case runner.Unhealthy, runner.Invalid:
		w.pausedUntil = now.Add(unhealthyPause)
	default:
	}
}

// raiseToken raises the worker's fencing token. Once the worker has seen the new
// token, it refuses all earlier orders that haven't been carried out. raiseToken
// does nothing and returns false if the worker hasn't seen the current token.
func (s *State) raiseToken(w *worker) bool {
	if w.token != w.tokenSeen {
		return false // already raised
	}
	w.token++
	s.topToken = max(s.topToken, w.token)
	return true
}

// HandleStopAnswer applies the answer to a stop order. The end of the run
// itself arrives with a report.
func (s *State) HandleStopAnswer(now time.Time, o StopOrder, a runner.Answer) {
	w := s.workers[o.Worker.ID]
	if w == nil {
		return
	}
	w.setClock(now, a.ClockMS)
	if a.Status == runner.Restarted {
		s.HandleRestart(now, w.info.ID)
	}
}

// HandleCPULimitAnswer applies the answer to a CPU limit order; an order that
// failed is sent again.
func (s *State) HandleCPULimitAnswer(o CPULimitOrder, a runner.Answer) {
	w := s.workers[o.Worker.ID]
	if w == nil || a.Status == runner.Done {
		return
	}
	if r := w.runs[o.CPULimit.Task]; r != nil && r.number == o.CPULimit.Run && r.cpuLimit == o.CPULimit.Percent {
		r.cpuLimitUnconfirmed, w.limitUnconfirmed = true, true
	}
}
