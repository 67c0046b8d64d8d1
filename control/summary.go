package control

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/relay"
)

// summaryEvery is the time between two log lines on the state of the domain.
const summaryEvery = time.Second

// summarize logs the state of the domain at intervals.
func (o *Owner) summarize(now time.Time) {
	if now.Sub(o.summarized) < summaryEvery {
		return
	}
	o.summarized = now
	sum := o.state.AttributeTime(now)
	o.opts.Metrics.state(&sum)
	traffic := o.traffic.State(now)
	event.DomainState.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.Any("state", sum),
		slog.Any("traffic", traffic), slog.Any("loop", o.loop), slog.Int64("commit_age_ms", o.commitAge().Milliseconds()))
	o.opts.Metrics.load(traffic, &o.loop)
	o.backlog.Observe(int(sum.Stats.Starts-o.starts), o.loop.pressed()) //nolint:gosec // of a second
	o.starts = sum.Stats.Starts
	o.adaptRelays(now, sum.Workers)
	o.loop = loopTime{}
	for _, j := range o.state.TakeJobOutcomes() {
		event.JobOver.Log(o.opts.Log, slog.String("job", j.Job), slog.String("queue", j.Queue),
			slog.String("state", j.State.String()), slog.String("reached", j.Timeliness.String()),
			slog.Int64("age_ms", j.Age.Milliseconds()), slog.Int64("objective_ms", j.Objective.Milliseconds()),
			slog.Int64("core_ms", j.CoreMS), slog.Int("tasks", j.Tasks), slog.Any("spent", j.TimeBreakdown))
	}
}

// adaptRelays has as many hosts carry orders as the load of the last second
// needs.
func (o *Owner) adaptRelays(now time.Time, workers int) {
	perZone := o.demand.Observe(relay.Load{
		Workers: workers, Orders: int(o.relays.orders.Swap(0)), RoundTrip: o.traffic.RoundTrip(now), HeldBack: o.loop.pressed(),
	})
	o.perZone.Store(int64(perZone))
	o.relays.use(relay.NewTable(o.rivals.RelayHosts(boottime()), perZone))
}
