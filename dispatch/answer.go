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
	from := s.originOf(now, w, o.To, a)
	if from != unknownLife {
		s.recordStartAnswer(now, w, o, a)
	}
	r := w.runs[o.Start.Task]
	if r == nil || r.number != o.Start.Run || r.confirmed || r.phase == uncertain {
		return from == begunLife // a report has already resolved this start
	}
	// The run may have been ordered to stop meanwhile. A start that was never
	// carried out reports no end, so its reservation is released here.
	switch a.Status {
	case runner.Done:
		if from == unknownLife {
			r.phase = uncertain // the next report of the current life tells
			return false
		}
		// A life that this answer has shown may be over already. The answer doesn't tell its
		// incarnation, so the next report alone says whether the life that gives it has the run.
		if from == currentLife {
			r.life = w.number
		}
		r.markConfirmed(now)
		s.markStarted(r.task.step.job)
		s.Stats.Starts++
	case runner.Unknown:
		s.Stats.StartsUnknown++
		r.phase = uncertain
		s.markUnresponsive(now, w)
		return s.raiseToken(w, r.token)
	case runner.Restarted:
		s.endRestarted(now, w, o.To)
	case runner.NotSent:
		s.Stats.StartsRefused++
		s.releaseRun(now, r, NotSent)
		s.stopGang(now, r.task.step, r.number)
	default:
		s.Stats.StartsRefused++
		s.handleRefusal(now, w, r, a.Status)
		s.stopGang(now, r.task.step, r.number)
	}
	return from == begunLife
}

// recordStartAnswer records what the current life's answer to a start says of the worker.
func (s *State) recordStartAnswer(now time.Time, w *worker, o StartOrder, a runner.Answer) {
	w.setClock(now, a.ClockMS)
	switch a.Status {
	case runner.Fenced:
		s.recordFenced(now, w, o.Start.Token)
	case runner.Done:
		w.tokenSeen = max(w.tokenSeen, o.Start.Token)
	default:
	}
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

// raiseToken raises the worker's fencing token above that of an order that wasn't answered.
// Once the worker has seen the new token, it refuses all earlier orders that haven't been
// carried out. raiseToken does nothing and returns false if the token is higher already.
func (s *State) raiseToken(w *worker, unanswered uint64) bool {
	if w.token > unanswered {
		return false
	}
	w.token++
	s.topToken = max(s.topToken, w.token)
	return true
}

// startToken returns the token for a start, which is higher than that of any renewal that
// acknowledges ends. If the worker has started again meanwhile, such a renewal would make it
// forget the end of this run; but after the start it refuses the renewal.
func (s *State) startToken(w *worker) uint64 {
	s.raiseToken(w, w.acknowledgedUnder)
	return w.token
}

// HandleStopAnswer applies the answer to a stop order. The end of the run
// itself arrives with a report.
func (s *State) HandleStopAnswer(now time.Time, o StopOrder, a runner.Answer) {
	w := s.workers[o.Worker.ID]
	if w == nil || s.originOf(now, w, o.To, a) == unknownLife {
		return
	}
	w.setClock(now, a.ClockMS)
	switch a.Status {
	case runner.Restarted:
		s.endRestarted(now, w, o.To)
	case runner.Fenced:
		// The worker's token was raised while the stop waited.
		if r := w.runs[o.Stop.Task]; r != nil && r.number == o.Stop.Run && r.phase == stopping && o.Stop.Token < w.token {
			r.stopOrderedAt = time.Time{}
			s.orderStop(now, r, r.stopCause)
		}
	default:
	}
}

// endRestarted handles the answer of an incarnation with another ID, unless the order was
// made for an earlier life of the worker, which may have been at another address.
func (s *State) endRestarted(now time.Time, w *worker, to runner.Addressee) {
	if to.Life == w.number {
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
