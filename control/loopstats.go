package control

import (
	"log/slog"
	"time"
)

// activity is an activity of the owner's loop, for time accounting.
type activity uint8

// Activities of the loop.
const (
	// planning computes orders.
	planning activity = iota
	// issuingOrders passes orders to the sessions.
	issuingOrders
	// polling requests reports from workers.
	polling
	// flushing encodes changes of the state and starts their commit.
	flushing
	// handlingEvents handles answers, reports, callers' requests and membership.
	handlingEvents
	// summarizing updates logs and metrics.
	summarizing
	activityCount
)

// activityNames holds the log keys and metric labels of the activities, in the
// order of the constants. They stay as they are when a constant is renamed.
var activityNames = [activityCount]string{"planning", "ordering", "looking", "flushing", "hearing", "summing"}

// String returns the activity's name in logs and metrics.
func (a activity) String() string { return activityNames[a] }

// loopStats are statistics of the owner's loop since the last summary.
type loopStats struct {
	spent [activityCount]time.Duration
	// maxTickDelay is the longest delay of a tick, caused by other work of the
	// loop or by contention for the processor.
	maxTickDelay time.Duration
	// maxQueuedEvents is the largest number of events queued for the loop.
	maxQueuedEvents int
	// cycles counts planning cycles, limited those that reached the limit on
	// starts in flight.
	cycles, limited int
}

// add adds the time since start to an activity. It returns the current time, at
// which the next activity starts.
func (l *loopStats) add(a activity, start time.Time) time.Time {
	now := time.Now()
	l.spent[a] += now.Sub(start)
	return now
}

// planned records a planning cycle.
func (l *loopStats) planned(limited bool) {
	l.cycles++
	if limited {
		l.limited++
	}
}

// overloaded reports whether most planning cycles reached the limit on starts
// in flight.
func (l *loopStats) overloaded() bool { return 2*l.limited > l.cycles }

// recordTick records a tick that was due at the given time.
func (l *loopStats) recordTick(due time.Time) { l.maxTickDelay = max(l.maxTickDelay, time.Since(due)) }

// LogValue implements slog.LogValuer.
func (l loopStats) LogValue() slog.Value {
	var attrs []slog.Attr
	for a, d := range l.spent {
		attrs = append(attrs, slog.Int64(activity(a).String()+"_ms", d.Milliseconds())) //nolint:gosec // a few activities
	}
	attrs = append(attrs, slog.Int64("late_ms", l.maxTickDelay.Milliseconds()), slog.Int("events_waited", l.maxQueuedEvents),
		slog.Int("cycles", l.cycles), slog.Int("held_back", l.limited))
	return slog.GroupValue(attrs...)
}
