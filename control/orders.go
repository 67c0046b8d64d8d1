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

// order hands a plan's orders to the sessions.
func (o *Owner) order(p dispatch.Plan) {
	for _, s := range p.Stops {
		o.orderStop(s)
	}
	for _, s := range p.CPULimits {
		o.orderPace(s)
	}
	for _, s := range p.Starts {
		o.orderStart(s)
	}
}

// give queues an order for a worker; false if too many wait already.
func (o *Owner) give(worker string, f func(context.Context)) bool {
	s := o.sessions[worker]
	if s == nil {
		return false
	}
	select {
	case s.orders <- f:
		return true
	default:
		return false
	}
}

// orderStart gives a start and takes in the answer. A start that is no longer
// right when its turn comes isn't sent.
func (o *Owner) orderStart(s dispatch.StartOrder) {
	session := o.sessions[s.Worker.ID]
	given := boottime()
	o.traffic.StartIssued()
	queued := o.give(s.Worker.ID, func(ctx context.Context) {
		a, way := runner.Answer{Status: runner.Fenced}, flow.RoundTrip{}
		if session.token.Load() == s.Start.Token && o.proven() && boottime()-given < o.traffic.startWait() {
			a, way = o.traffic.send(ctx, 0, func(ctx context.Context) runner.Answer {
				return o.relays.Start(ctx, s.Worker, s.Start)
			})
		}
		o.post(func() { o.startAnswered(s, a, way) })
	})
	if !queued {
		o.startAnswered(s, runner.Answer{Status: runner.Unhealthy}, flow.RoundTrip{})
	}
}

// startAnswered takes the answer to a start in.
func (o *Owner) startAnswered(s dispatch.StartOrder, a runner.Answer, way flow.RoundTrip) {
	now := time.Now()
	if way.Duration > 0 {
		o.traffic.measured(now, way)
	}
	o.traffic.StartFinished(now, way)
	o.opts.Metrics.order("start", a.Status)
	event.StartAnswered.Log(o.opts.Log, slog.Any("task", s.Start.Task), slog.Any("run", s.Start.Run), slog.Any("worker", s.Worker.ID), slog.Any("token", s.Start.Token), slog.Any("known", s.Snapshot), slog.Any("status", a.Status), slog.Any("err", a.Err))
	if !o.state.HandleStartAnswer(now, s, a) {
		return
	}
	o.resolve(s.Worker.ID)
}

// resolve looks at a worker under its newest token, beside the look that may
// be waiting there, to learn which starts without an answer were carried out.
func (o *Owner) resolve(id string) {
	w, renewal, ok := o.state.Renewal(time.Now(), id, o.proven())
	s := o.sessions[id]
	if !ok || s == nil {
		return
	}
	renewal.WaitMS = 0
	s.token.Store(renewal.Token)
	l := look{worker: w, renewal: renewal}
	o.give(id, func(ctx context.Context) {
		a, rep, way := o.renew(ctx, l)
		o.post(func() { o.looked(s, l, a, rep, way) })
	})
}

// orderStop gives a stop.
func (o *Owner) orderStop(s dispatch.StopOrder) {
	o.call(s.Worker.ID, "stop", func(ctx context.Context) runner.Answer {
		return o.relays.Stop(ctx, s.Worker, s.Stop)
	}, func(a runner.Answer) {
		event.StopAnswered.Log(o.opts.Log, slog.Any("task", s.Stop.Task), slog.Uint64("run", s.Stop.Run),
			slog.String("worker", s.Worker.ID), slog.String("cause", s.Cause.String()), slog.Any("known", s.Snapshot),
			slog.Any("status", a.Status), slog.Any("err", a.Err))
		o.state.HandleStopAnswer(time.Now(), s, a)
	})
}

// orderPace gives a change of pace.
func (o *Owner) orderPace(p dispatch.CPULimitOrder) {
	o.call(p.Worker.ID, "pace", func(ctx context.Context) runner.Answer {
		return o.relays.SetCPULimit(ctx, p.Worker, p.CPULimit)
	}, func(a runner.Answer) {
		event.PaceAnswered.Log(o.opts.Log, slog.Any("task", p.CPULimit.Task), slog.Uint64("run", p.CPULimit.Run),
			slog.String("worker", p.Worker.ID), slog.Int("percent", p.CPULimit.Percent), slog.Any("known", p.Snapshot), slog.Any("status", a.Status),
			slog.Any("err", a.Err))
		o.state.HandleCPULimitAnswer(p, a)
	})
}

// call queues an order for a worker and takes its answer in on the loop. One
// that finds no place in the queue counts as refused, so that a later cycle
// gives it again.
func (o *Owner) call(id, kind string, order func(context.Context) runner.Answer, answered func(runner.Answer)) {
	queued := o.give(id, func(ctx context.Context) {
		a, way := o.traffic.send(ctx, 0, order)
		o.opts.Metrics.order(kind, a.Status)
		o.post(func() {
			o.traffic.measured(time.Now(), way)
			answered(a)
		})
	})
	if !queued {
		answered(runner.Answer{Status: runner.Unhealthy})
	}
}

// look begins the looks at workers that are due.
func (o *Owner) look(now time.Time) {
	o.state.EachWorker(func(id string) { o.lookAt(now, id) })
	for _, id := range o.state.EarlyPolls(now) {
		o.resolve(id)
	}
	for id, s := range o.sessions {
		if !o.state.HasWorker(id) {
			s.cancel()
			delete(o.sessions, id)
		}
	}
}

// lookAt begins a look at a worker if one is due.
func (o *Owner) lookAt(now time.Time, id string) {
	s := o.sessions[id]
	if s == nil {
		s = o.startSession(id)
		o.sessions[id] = s
	}
	if s.looking || now.Before(s.nextLook) || !o.state.RenewalReady(now, id) {
		return
	}
	info, renewal, ok := o.state.Renewal(now, id, o.proven())
	if !ok {
		return
	}
	s.looking = true
	s.token.Store(renewal.Token)
	s.looks <- look{worker: info, renewal: renewal}
}

// looked takes in a worker's answer to a look.
func (o *Owner) looked(s *session, l look, a runner.Answer, rep runner.Report, way flow.RoundTrip) {
	now := time.Now()
	o.opts.Metrics.order("look", a.Status)
	// A worker that was silent before is looked at in vain as long as it is
	// gone, and one that may hold its answer says nothing of the way.
	if (way.TimedOut && o.state.Responsive(l.worker.ID)) || (!way.TimedOut && l.renewal.WaitMS == 0) {
		o.traffic.measured(now, way)
	}
	s.nextLook = now.Add(o.traffic.PollInterval(now))
	if a.Status != runner.Done {
		s.nextLook = now.Add(max(lookRetry, o.traffic.orderWait()))
		event.WorkerNotSeen.Log(o.opts.Log, slog.Any("worker", l.worker.ID), slog.Any("status", a.Status), slog.Any("err", a.Err))
	}
	for _, e := range o.state.HandleReport(now, l.worker.ID, l.renewal, a, rep) {
		o.opts.Metrics.ends.WithLabelValues(e.Kind.String()).Inc()
		event.RunEnded.Log(o.opts.Log, slog.Any("task", e.Task), slog.Any("run", e.Run), slog.Any("worker", l.worker.ID), slog.Any("how", e.Kind))
	}
}
