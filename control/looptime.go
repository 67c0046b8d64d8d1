package control

import (
	"log/slog"
	"time"
)

// activity is what the owner's loop spends time on.
type activity uint8

// The activities of the loop.
const (
	// planning decides what to order.
	planning activity = iota
	// ordering hands orders to the sessions.
	ordering
	// looking asks workers for reports.
	looking
	// flushing collects what must become durable.
	flushing
	// hearing takes in answers, reports, callers' requests and members.
	hearing
	// summing sums the state up for logs and metrics.
	summing
	activities
)

var activityNames = [activities]string{"planning", "ordering", "looking", "flushing", "hearing", "summing"}

// String returns the activity as logs and metrics show it.
func (a activity) String() string { return activityNames[a] }

// loopTime is what the loop spent its time on since the last summary.
type loopTime struct {
	spent [activities]time.Duration
	// latest is the longest that a tick waited for the loop: behind other work
	// of the loop, or for the host's processor.
	latest time.Duration
	// waited is the most events that waited for the loop.
	waited int
	// cycles counts planning cycles, heldBack those whose starts were cut short
	// by those under way.
	cycles, heldBack int
}

// add books the time since begun and returns now.
func (l *loopTime) add(a activity, begun time.Time) time.Time {
	now := time.Now()
	l.spent[a] += now.Sub(begun)
	return now
}

// planned takes in a planning cycle.
func (l *loopTime) planned(heldBack bool) {
	l.cycles++
	if heldBack {
		l.heldBack++
	}
}

// pressed reports whether most cycles were cut short.
func (l *loopTime) pressed() bool { return 2*l.heldBack > l.cycles }

// ticked takes in a tick that was due at a time.
func (l *loopTime) ticked(due time.Time) { l.latest = max(l.latest, time.Since(due)) }

// LogValue implements slog.LogValuer.
func (l loopTime) LogValue() slog.Value {
	var attrs []slog.Attr
	for a, d := range l.spent {
		attrs = append(attrs, slog.Int64(activity(a).String()+"_ms", d.Milliseconds())) //nolint:gosec // a few activities
	}
	attrs = append(attrs, slog.Int64("late_ms", l.latest.Milliseconds()), slog.Int("events_waited", l.waited),
		slog.Int("cycles", l.cycles), slog.Int("held_back", l.heldBack))
	return slog.GroupValue(attrs...)
}
