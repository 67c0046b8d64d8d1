package flow

import (
	"log/slog"
	"time"
)

// The bounds of what an owner has under way with its workers.
const (
	// MinTimeout and MaxTimeout bound the wait for a worker's answer to an order,
	// beyond what a look asks it to wait. The least is a hundred times what a
	// sound worker takes: what became of an order without an answer is asked at
	// once, so it costs little. The most leaves a run whose start got no answer
	// its turn elsewhere within callers' patience.
	MinTimeout = 300 * time.Millisecond
	MaxTimeout = 2500 * time.Millisecond
	// startDelay is the round trip of starts beyond which fewer are under way,
	// a third of MinTimeout.
	startDelay = 100 * time.Millisecond
	// leastStarts and mostStarts bound how many starts are under way.
	leastStarts, mostStarts = 8, 1024
	// measuredFor is how long a measured round trip says something of the delay.
	measuredFor = time.Second
)

// RoundTrip is an order's way to a worker and back.
type RoundTrip struct {
	// Duration is how long it took; zero if it wasn't sent.
	Duration time.Duration
	// TimedOut is set if there was no answer within the wait.
	TimedOut bool
}

// Traffic is what an owner has under way with its workers, and how long that
// takes.
type Traffic struct {
	timeout    Timeout
	starts     *Limit
	measuredAt time.Time
}

// NewTraffic returns the traffic of an owner that has sent nothing.
func NewTraffic() *Traffic {
	return &Traffic{
		timeout: Timeout{Min: MinTimeout, Max: MaxTimeout}, starts: NewLimit(startDelay, leastStarts, mostStarts),
	}
}

// Timeout returns how long to wait for the answer to an order.
func (t *Traffic) Timeout() time.Duration { return t.timeout.Value() }

// Observe takes in the way of an order that the worker answered at once, or
// that got no answer in time.
func (t *Traffic) Observe(now time.Time, w RoundTrip) {
	if w.TimedOut {
		t.timeout.TimedOut()
		return
	}
	t.measuredAt = now
	t.timeout.Answered(w.Duration)
}

// AvailableStarts returns how many more starts may be given.
func (t *Traffic) AvailableStarts() int { return t.starts.Available() }

// batchShare is the share of the starts under way that are answered before more
// are chosen, where starts had to wait for them: a choice costs about as much for
// one start as for a dozen.
const batchShare = 1.0 / 3

// CanPlanStarts reports whether enough starts are answered to choose more.
func (t *Traffic) CanPlanStarts() bool {
	return float64(t.starts.Available()) >= batchShare*float64(t.starts.Current())
}

// StartIssued takes in that a start is given.
func (t *Traffic) StartIssued() { t.starts.Acquire() }

// StartFinished takes in that a start was answered, got no answer, or wasn't sent.
func (t *Traffic) StartFinished(now time.Time, w RoundTrip) {
	if w.Duration == 0 || w.TimedOut {
		t.starts.Release()
		return
	}
	t.starts.Answered(now, w.Duration)
}

// RoundTrip returns the smoothed round trip, 0 if none was measured lately.
func (t *Traffic) RoundTrip(now time.Time) time.Duration {
	if now.Sub(t.measuredAt) > measuredFor {
		return 0
	}
	return t.timeout.SmoothedRTT()
}

// PollInterval returns how long a worker that has just reported is left alone.
func (t *Traffic) PollInterval(now time.Time) time.Duration {
	return PollInterval(t.RoundTrip(now))
}

// State is what a Traffic has measured and allows, for logs.
type State struct {
	// Timeout is how long answers are waited for, Smoothed the smoothed round trip.
	Timeout, SmoothedRTT time.Duration
	// StartsInFlight are under way, StartLimit may be.
	StartsInFlight, StartLimit int
	// PollInterval is how long a worker that has just reported is left alone.
	PollInterval time.Duration
}

// State returns what is measured and allowed now.
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
