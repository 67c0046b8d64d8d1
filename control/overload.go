package control

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/overload"
)

// observeOverload adapts the limit on the work of planning cycles, and logs when the owner
// becomes short of processor or no longer is.
func (o *Owner) observeOverload(now time.Time, cycle overload.Cycle) {
	o.overload.Observe(now, cycle)
	if short := o.overload.Short(); short != o.short {
		o.short = short
		o.opts.Metrics.setShort(short)
		event.OwnerShort.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.Bool("short", short),
			slog.Int64("cycle_ms", cycle.Took.Milliseconds()), slog.Int("visits", cycle.Visits))
	}
}

// observeBacklog updates the estimate of the backlog, once per flow.BacklogInterval.
func (o *Owner) observeBacklog(now time.Time) {
	period := now.Sub(o.backlogAt)
	if period < flow.BacklogInterval {
		return
	}
	starts := o.state.Stats.Starts
	o.backlog.Observe(int(starts-o.startsCounted), period, o.recentCycles.limited()) //nolint:gosec // of a short period
	o.backlogAt, o.startsCounted, o.recentCycles = now, starts, cycleCounts{}
}
