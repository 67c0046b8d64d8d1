package control

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
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
	cycles          cycleCounts
}

// cycleCounts counts planning cycles.
type cycleCounts struct {
	// all counts all of them, heldBack those that reached the limit on starts in flight,
	// and cutShort those that the limit on visits cut short.
	all, heldBack, cutShort int
}

// add counts a planning cycle.
func (c *cycleCounts) add(p *dispatch.Plan) {
	c.all++
	if p.StartLimitReached {
		c.heldBack++
	}
	if p.VisitLimitReached {
		c.cutShort++
	}
}

// startsLimited reports whether most cycles reached the limit on starts in flight.
func (c *cycleCounts) startsLimited() bool { return 2*c.heldBack > c.all }

// limited reports whether most cycles left steps untried.
func (c *cycleCounts) limited() bool { return 2*(c.heldBack+c.cutShort) > c.all }

// add adds the time since start to an activity. It returns the current time, at
// which the next activity starts.
func (l *loopStats) add(a activity, start time.Time) time.Time {
	now := time.Now()
	l.spent[a] += now.Sub(start)
	return now
}

// recordTick records a tick that was due at the given time.
func (l *loopStats) recordTick(due time.Time) { l.maxTickDelay = max(l.maxTickDelay, time.Since(due)) }

// LogValue implements slog.LogValuer.
func (l loopStats) LogValue() slog.Value {
	var attrs []slog.Attr
	for a, d := range l.spent {
		attrs = append(attrs, slog.Int64(activity(a).String()+"_ms", d.Milliseconds())) //nolint:gosec // a few activities
	}
	attrs = append(attrs, slog.Int64("late_ms", l.maxTickDelay.Milliseconds()), slog.Int("events_waited", l.maxQueuedEvents),
		slog.Int("cycles", l.cycles.all), slog.Int("held_back", l.cycles.heldBack), slog.Int("cut_short", l.cycles.cutShort))
	return slog.GroupValue(attrs...)
}
