package flow

import (
	"log/slog"
	"time"
)

// Limits on orders in flight.
const (
	// MinTimeout and MaxTimeout bound the wait for a worker's answer, in addition
	// to the time that a poll asks the worker to hold it. A timeout is cheap,
	// since the outcome of the order is polled at once; MinTimeout is a hundred times
	// what a healthy worker takes. MaxTimeout is short enough
	// for the task to be started elsewhere before its caller's timeout.
	MinTimeout = 300 * time.Millisecond
	MaxTimeout = 2500 * time.Millisecond
	// startRTTTarget is the round trip of starts above which their number in
	// flight is reduced.
	startRTTTarget = 100 * time.Millisecond
	// minStartLimit and maxStartLimit bound the limit on starts in flight.
	minStartLimit, maxStartLimit = 8, 1024
	// rttValidity is how long an observed round trip remains representative.
	rttValidity = time.Second
)

// RoundTrip is the outcome of sending one order to a worker.
type RoundTrip struct {
	// Duration is the time to the answer or the timeout, 0 if the order wasn't
	// sent.
	Duration time.Duration
	// TimedOut is set if no answer arrived within the timeout.
	TimedOut bool
}

// Traffic limits and measures an owner's orders to its workers. It isn't safe
// for concurrent use.
type Traffic struct {
	timeout Timeout
	// starts limits the starts in flight.
	starts *Limit
	// observedAt is when a round trip was last observed.
	observedAt time.Time
}

// NewTraffic returns the Traffic of an owner that has sent no orders.
func NewTraffic() *Traffic {
	return &Traffic{
		timeout: Timeout{Min: MinTimeout, Max: MaxTimeout}, starts: NewLimit(startRTTTarget, minStartLimit, maxStartLimit),
	}
}

// Timeout returns how long to wait for the answer to an order.
func (t *Traffic) Timeout() time.Duration { return t.timeout.Value() }

// Observe records the round trip of an order that the worker answered without
// holding the answer, or that timed out.
func (t *Traffic) Observe(now time.Time, rt RoundTrip) {
	if rt.TimedOut {
		t.timeout.TimedOut()
		return
	}
	t.observedAt = now
	t.timeout.Answered(rt.Duration)
}

// AvailableStarts returns how many more starts may be sent.
func (t *Traffic) AvailableStarts() int { return t.starts.Available() }

// planThreshold is the share of the start limit that must be free before
// planning continues after the limit was reached. A planning cycle costs about
// as much for one start as for a dozen.
const planThreshold = 1.0 / 3

// CanPlanStarts reports whether enough of the start limit is free to plan
// again.
func (t *Traffic) CanPlanStarts() bool {
	return float64(t.starts.Available()) >= planThreshold*float64(t.starts.Current())
}

// StartIssued records that a start is sent or queued for sending.
func (t *Traffic) StartIssued() { t.starts.Acquire() }

// StartFinished records that a start was answered, timed out or wasn't sent.
func (t *Traffic) StartFinished(now time.Time, rt RoundTrip) {
	if rt.Duration == 0 || rt.TimedOut {
		t.starts.Release()
		return
	}
	t.starts.Answered(now, rt.Duration)
}

// RoundTrip returns the smoothed round trip, 0 if none was observed recently.
func (t *Traffic) RoundTrip(now time.Time) time.Duration {
	if now.Sub(t.observedAt) > rttValidity {
		return 0
	}
	return t.timeout.SmoothedRTT()
}

// PollInterval returns the pause between a worker's report and the next poll.
func (t *Traffic) PollInterval(now time.Time) time.Duration {
	return PollInterval(t.RoundTrip(now))
}

// State is a snapshot of a Traffic for logs and metrics.
type State struct {
	// Timeout is the current order timeout, SmoothedRTT the smoothed round trip.
	Timeout, SmoothedRTT time.Duration
	// StartsInFlight is the number of starts in flight, StartLimit the limit on
	// it.
	StartsInFlight, StartLimit int
	// PollInterval is the pause between a worker's report and the next poll.
	PollInterval time.Duration
}

// State returns the current measurements and limits.
func (t *Traffic) State(now time.Time) State {
	return State{
		Timeout: t.Timeout(), SmoothedRTT: t.RoundTrip(now), StartsInFlight: t.starts.InFlight(), StartLimit: t.starts.Current(),
		PollInterval: t.PollInterval(now),
	}
}

// LogValue implements slog.LogValuer.
func (s State) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("wait_ms", s.Timeout.Milliseconds()), slog.Int64("smoothed_ms", s.SmoothedRTT.Milliseconds()),
		slog.Int("starts", s.StartsInFlight), slog.Int("start_limit", s.StartLimit), slog.Int64("look_gap_ms", s.PollInterval.Milliseconds()),
	)
}
