package dispatch_test

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// sentStart is a start order that was sent to a worker in one of its lives.
type sentStart struct {
	order dispatch.StartOrder
	life  int
	at    time.Time
	// givenUp is set once the newest owner didn't count the run as alive any more.
	givenUp bool
}

// send records a start order that is sent now. The worker may crash before it arrives.
func (s *faultSim) send(o dispatch.StartOrder) *sentStart {
	w := s.worker(o.Worker.ID)
	sent := &sentStart{order: o, life: w.returning.lives, at: s.now}
	if s.returns == nil {
		return sent
	}
	s.returns.sent = append(s.returns.sent, sent)
	if s.chance(crashAtStart) && w.terminatedAt.IsZero() {
		s.crashAndReturn(w)
	}
	return sent
}

// watchSentStarts records which starts the newest owner has given up.
func (s *faultSim) watchSentStarts() {
	if s.returns == nil {
		return
	}
	s.returns.sent = slices.DeleteFunc(s.returns.sent, func(sent *sentStart) bool {
		start := &sent.order.Start
		sent.givenUp = sent.givenUp || !s.state.MayHoldRun(sent.order.Worker.ID, start.Task, start.Run)
		return sent.givenUp || s.now.Sub(sent.at) > latestOrder+time.Second
	})
}

// startOnce lets do carry a start out. A later life than that which it was sent to doesn't get
// it once the run was given up: that life can't know that an earlier one has seen a higher
// token, and an order has no other mark, so that no owner can prevent the start.
func (s *faultSim) startOnce(w *faultWorker, sent *sentStart, do func(*faultWorker, dispatch.StartOrder) runner.Status) runner.Status {
	later := w.returning.lives != sent.life
	if later && sent.givenUp {
		s.returns.outlived++
		return runner.Unknown
	}
	status := do(w, sent.order)
	if later && status == runner.Done {
		s.returns.acrossLives++
	}
	return status
}
