package ownerdriver

import (
	"log/slog"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/ownership"
)

// events maps the machine's reports to log events.
var events = map[ownership.ReportKind]event.Event{
	ownership.SessionOpened:   event.SessionOpened,
	ownership.SessionReplaced: event.SessionReplaced,
	ownership.ShardOwned:      event.ShardOwned,
	ownership.ShardSeized:     event.ShardTakenOver,
	ownership.ShardConfirmed:  event.ShardConfirmed,
	ownership.ShardLost:       event.ShardLost,
	ownership.ShardMoving:     event.ShardMoving,
	ownership.ShardReleased:   event.ShardReleased,
}

// report logs a report of the machine.
func (d *Driver) report(r ownership.Report) {
	attrs := []slog.Attr{}
	if r.Shard != "" {
		attrs = append(attrs, slog.String("shard", r.Shard), slog.Uint64("epoch", r.Epoch))
	}
	if r.Host != "" {
		attrs = append(attrs, slog.String("peer", r.Host))
	}
	events[r.Kind].Log(d.cfg.Log, attrs...)
}
