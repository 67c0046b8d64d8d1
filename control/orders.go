package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/runner"
)

// issueOrders passes a plan's orders to the sessions.
func (o *Owner) issueOrders(p dispatch.Plan) {
	for _, s := range p.Stops {
		o.issueStop(s)
	}
	for _, s := range p.CPULimits {
		o.issueCPULimit(s)
	}
	for _, s := range p.Starts {
		o.issueStart(s)
	}
}

// issueStart queues a start. A start that has become outdated in the queue, or was
// withdrawn by the state, isn't sent.
func (o *Owner) issueStart(s dispatch.StartOrder) {
	session := o.sessions[s.Worker.ID]
	issuedAt := boottime()
	o.traffic.StartIssued()
	s.Sending.Queue()
	if session == nil {
		s.Gang.Abandon()
		o.handleStartAnswer(s, runner.Answer{Status: runner.Unhealthy}, flow.RoundTrip{})
		return
	}
	session.raiseToken(s.Start.Token)
	session.orders.pushStart(func(ctx context.Context) answered {
		a, rt := runner.Answer{Status: runner.NotSent}, flow.RoundTrip{}
		if o.maySend(ctx, session, &s, issuedAt) {
			a, rt = o.traffic.send(ctx, 0, func(ctx context.Context) runner.Answer {
				return o.relays.Start(ctx, s.Worker, s.Start)
			})
		}
		o.post(func() { o.handleStartAnswer(s, a, rt) })
		return newAnswered(a.Status, rt)
	})
	session.notify()
}

// newAnswered describes an order whose worker gave an answer with the given status.
func newAnswered(status runner.Status, rt flow.RoundTrip) answered {
	return answered{sent: rt.Duration > 0, ok: status != runner.Unknown}
}

// maySend decides, right before a queued start is sent, whether it is still to be sent.
// If it returns true, the state counts the start as sent. A member of a gang is sent however
// long it was queued if another one was.
func (o *Owner) maySend(ctx context.Context, session *session, s *dispatch.StartOrder, issuedAt time.Duration) bool {
	inTime := boottime()-issuedAt < o.traffic.maxStartDelay() || s.Gang.Begun()
	if !inTime || ctx.Err() != nil || session.token.Load() != s.Start.Token || !o.ownershipValid() || o.refused() {
		s.Gang.Abandon()
		return false
	}
	return s.Sending.Begin() && s.Gang.Begin()
}

// handleStartAnswer handles the answer to a start. It polls the worker if it is
// unknown whether the start was carried out.
func (o *Owner) handleStartAnswer(s dispatch.StartOrder, a runner.Answer, rt flow.RoundTrip) {
	now := time.Now()
	if rt.Duration > 0 {
		o.traffic.observe(now, rt)
	}
	o.traffic.StartFinished(now, rt)
	o.opts.Metrics.order("start", a.Status)
	event.StartAnswered.Log(o.opts.Log, slog.Any("task", s.Start.Task), slog.Any("run", s.Start.Run), slog.Any("worker", s.Worker.ID), slog.Any("token", s.Start.Token), slog.Any("known", s.Snapshot), slog.Any("prior", s.Prior), slog.Any("status", a.Status), slog.Any("err", a.Err))
	resolve := o.state.HandleStartAnswer(now, s, a)
	o.verifyIfRefused()
	if resolve {
		o.pollNow(s.Worker.ID)
	}
}

// pollNow polls a worker with its newest token, in addition to a poll that may
// be waiting there, for a recent report or to learn which unanswered starts were
// carried out. Queued starts with an older token aren't sent any more.
func (o *Owner) pollNow(id string) {
	w, renewal, ok := o.state.Renewal(time.Now(), id, o.leaseLeft())
	s := o.sessions[id]
	if !ok || s == nil {
		return
	}
	renewal.WaitMS = 0
	s.token.Store(renewal.Token)
	o.logAcknowledgment(s, &renewal)
	p := poll{worker: w, renewal: renewal}
	queued := s.orders.push(func(ctx context.Context) answered {
		if ctx.Err() != nil {
			return answered{} // the session has ended
		}
		a, rt := o.sendPoll(ctx, s, p)
		o.post(func() { o.handlePoll(s, p, a, rt) })
		return newAnswered(a.answer.Status, rt)
	})
	if !queued {
		o.opts.Metrics.order("look", runner.NotSent)
	}
	s.notify()
}

// issueStop queues a stop, unless one of the same run waits.
func (o *Owner) issueStop(s dispatch.StopOrder) {
	session := o.sessions[s.Worker.ID]
	if session == nil {
		o.handleStopAnswer(s, runner.Answer{Status: runner.NotSent})
		return
	}
	session.orders.pushStop(runKey{s.Stop.Task, s.Stop.Run}, func(ctx context.Context) answered {
		return o.sendOrder(ctx, "stop", func(ctx context.Context) runner.Answer {
			return o.relays.Stop(ctx, s.Worker, s.Stop)
		}, func(a runner.Answer) { o.handleStopAnswer(s, a) })
	})
	session.notify()
}

// handleStopAnswer handles the answer to a stop.
func (o *Owner) handleStopAnswer(s dispatch.StopOrder, a runner.Answer) {
	event.StopAnswered.Log(o.opts.Log, slog.Any("task", s.Stop.Task), slog.Uint64("run", s.Stop.Run),
		slog.String("worker", s.Worker.ID), slog.String("cause", s.Cause.String()), slog.Any("known", s.Snapshot),
		slog.Any("status", a.Status), slog.Any("err", a.Err))
	o.state.HandleStopAnswer(time.Now(), s, a)
}

// issueCPULimit queues a change of a run's CPU limit.
func (o *Owner) issueCPULimit(p dispatch.CPULimitOrder) {
	o.issueOrder(p.Worker.ID, "pace", func(ctx context.Context) runner.Answer {
		return o.relays.SetCPULimit(ctx, p.Worker, p.CPULimit)
	}, func(a runner.Answer) {
		event.CPULimitAnswered.Log(o.opts.Log, slog.Any("task", p.CPULimit.Task), slog.Uint64("run", p.CPULimit.Run),
			slog.String("worker", p.Worker.ID), slog.Int("percent", p.CPULimit.Percent), slog.Any("known", p.Snapshot), slog.Any("status", a.Status),
			slog.Any("err", a.Err))
		o.state.HandleCPULimitAnswer(p, a)
	})
}

// issueOrder queues an order for a worker and handles the answer on the loop.
// An order that can't be queued counts as refused, so that a later cycle
// repeats it.
func (o *Owner) issueOrder(id, kind string, order func(context.Context) runner.Answer, handle func(runner.Answer)) {
	s := o.sessions[id]
	if s == nil || !s.orders.push(func(ctx context.Context) answered { return o.sendOrder(ctx, kind, order, handle) }) {
		o.opts.Metrics.order(kind, runner.NotSent)
		handle(runner.Answer{Status: runner.Unhealthy})
		return
	}
	s.notify()
}

// sendOrder sends an order and handles the answer on the loop.
func (o *Owner) sendOrder(ctx context.Context, kind string, order func(context.Context) runner.Answer, handle func(runner.Answer)) answered {
	a, rt := o.traffic.send(ctx, 0, order)
	o.opts.Metrics.order(kind, a.Status)
	o.post(func() {
		o.traffic.observe(time.Now(), rt)
		handle(a)
	})
	return newAnswered(a.Status, rt)
}

// pollWorkers starts the polls that are due and ends the sessions of removed
// workers.
func (o *Owner) pollWorkers(now time.Time) {
	if o.unverified() {
		return // a poll that extends no lease would delay the next one that does
	}
	begun := 0
	o.pollsLeft = false
	o.state.EachWorker(o.lastPolled, func(id string) bool {
		if o.pollWorker(now, id) {
			begun, o.lastPolled = begun+1, id
		}
		o.pollsLeft = begun == maxPollsPerCycle
		return !o.pollsLeft
	})
	for _, id := range o.state.EarlyPolls(now) {
		o.pollNow(id)
	}
	o.endSessions()
}

// endSessions ends the sessions of workers that were removed since the last call.
func (o *Owner) endSessions() {
	removed := o.state.RemovedWorkers()
	if removed == o.removedWorkers {
		return
	}
	o.removedWorkers = removed
	for id, s := range o.sessions {
		if !o.state.HasWorker(id) {
			s.cancel()
			delete(o.sessions, id)
		}
	}
}

// pollWorker starts a poll of a worker if one is due, and reports whether it did. It
// first starts a session if the worker has none.
func (o *Owner) pollWorker(now time.Time, id string) bool {
	s := o.sessions[id]
	if s == nil {
		s = o.startSession(id)
		o.sessions[id] = s
	}
	if s.polling || now.Before(s.nextPoll) || !o.state.RenewalReady(now, id) {
		return false
	}
	info, renewal, ok := o.state.Renewal(now, id, o.leaseLeft())
	if !ok {
		return false
	}
	s.polling = true
	s.token.Store(renewal.Token)
	o.logAcknowledgment(s, &renewal)
	s.polls <- poll{worker: info, renewal: renewal}
	return true
}

// handlePoll applies a worker's answer and report to the state, and sets the time
// of the next poll.
func (o *Owner) handlePoll(s *session, p poll, pa pollAnswer, rt flow.RoundTrip) {
	now, a := time.Now(), pa.answer
	o.opts.Metrics.order("look", a.Status)
	// Timeouts of unresponsive workers and answers that the worker may have held
	// say nothing about the round trip.
	if (rt.TimedOut && o.state.Responsive(p.worker.ID)) || (!rt.TimedOut && p.renewal.WaitMS == 0) {
		o.traffic.observe(now, rt)
	}
	s.nextPoll = now.Add(o.traffic.PollInterval(now))
	if overtaken := a.Status == runner.Fenced && p.renewal.Token < s.token.Load(); a.Status != runner.Done && !overtaken {
		s.nextPoll = now.Add(max(pollRetryInterval, o.traffic.orderTimeout()))
		event.WorkerPollFailed.Log(o.opts.Log, slog.Any("worker", p.worker.ID), slog.Any("status", a.Status), slog.Any("err", a.Err))
	}
	o.handleReport(now, p, pa)
}

// handleLatePoll applies the answer to a poll that has already counted as unanswered.
// It shows that the worker is alive, so the next poll, which renews its leases, is due.
// That the worker wasn't healthy then says nothing about now.
func (o *Owner) handleLatePoll(s *session, p poll, a pollAnswer) {
	now := time.Now()
	o.opts.Metrics.order("late look", a.answer.Status)
	s.nextPoll = now
	switch a.answer.Status {
	case runner.Done, runner.Restarted, runner.Fenced:
		o.handleReport(now, p, a)
	default:
	}
}

// handleReport applies the answer to a poll to the state, and logs the ends in it. The
// answer may show that the owner has been replaced.
func (o *Owner) handleReport(now time.Time, p poll, a pollAnswer) {
	for _, e := range o.state.HandleReport(now, p.worker.ID, p.renewal, a.answer, a.report) {
		o.opts.Metrics.ends.WithLabelValues(e.Kind.String()).Inc()
		event.RunEnded.Log(o.opts.Log, slog.Any("task", e.Task), slog.Any("run", e.Run), slog.Any("worker", p.worker.ID), slog.Any("how", e.Kind),
			slog.Uint64("number", e.Number), slog.Any("incarnation", a.answer.Incarnation))
	}
	o.logFindings()
	o.verifyIfRefused()
}
