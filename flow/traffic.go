package flow

import (
	"log/slog"
	"time"
)

// The bounds of what an owner has under way with its workers.
const (
	// LeastWait and MostWait bound the wait for a worker's answer to an order,
	// beyond what a look asks it to wait. The least is a hundred times what a
	// sound worker takes: what became of an order without an answer is asked at
	// once, so it costs little. The most leaves a run whose start got no answer
	// its turn elsewhere within callers' patience.
	LeastWait = 300 * time.Millisecond
	MostWait  = 2500 * time.Millisecond
	// startDelay is the round trip of starts beyond which fewer are under way,
	// a third of LeastWait.
	startDelay = 100 * time.Millisecond
	// leastStarts and mostStarts bound how many starts are under way.
	leastStarts, mostStarts = 8, 1024
	// measuredFor is how long a measured round trip says something of the delay.
	measuredFor = time.Second
)

// Way is an order's way to a worker and back.
type Way struct {
	// Took is how long it took; zero if it wasn't sent.
	Took time.Duration
	// Late is set if there was no answer within the wait.
	Late bool
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
		timeout: Timeout{Floor: LeastWait, Ceiling: MostWait}, starts: NewLimit(startDelay, leastStarts, mostStarts),
	}
}

// Wait returns how long to wait for the answer to an order.
func (t *Traffic) Wait() time.Duration { return t.timeout.Value() }

// Measured takes in the way of an order that the worker answered at once, or
// that got no answer in time.
func (t *Traffic) Measured(now time.Time, w Way) {
	if w.Late {
		t.timeout.Missed()
		return
	}
	t.measuredAt = now
	t.timeout.Answered(w.Took)
}

// StartRoom returns how many more starts may be given.
func (t *Traffic) StartRoom() int { return t.starts.Room() }

// batchShare is the share of the starts under way that are answered before more
// are chosen, where starts had to wait for them: a choice costs about as much for
// one start as for a dozen.
const batchShare = 1.0 / 3

// StartsReady reports whether enough starts are answered to choose more.
func (t *Traffic) StartsReady() bool {
	return float64(t.starts.Room()) >= batchShare*float64(t.starts.Current())
}

// StartGiven takes in that a start is given.
func (t *Traffic) StartGiven() { t.starts.Begin() }

// StartOver takes in that a start was answered, got no answer, or wasn't sent.
func (t *Traffic) StartOver(now time.Time, w Way) {
	if w.Took == 0 || w.Late {
		t.starts.Gone()
		return
	}
	t.starts.Answered(now, w.Took)
}

// RoundTrip returns the smoothed round trip, 0 if none was measured lately.
func (t *Traffic) RoundTrip(now time.Time) time.Duration {
	if now.Sub(t.measuredAt) > measuredFor {
		return 0
	}
	return t.timeout.Smoothed()
}

// LookGap returns how long a worker that has just reported is left alone.
func (t *Traffic) LookGap(now time.Time) time.Duration {
	return Gap(t.RoundTrip(now))
}

// State is what a Traffic has measured and allows, for logs.
type State struct {
	// Wait is how long answers are waited for, Smoothed the smoothed round trip.
	Wait, Smoothed time.Duration
	// Starts are under way, StartLimit may be.
	Starts, StartLimit int
	// LookGap is how long a worker that has just reported is left alone.
	LookGap time.Duration
}

// State returns what is measured and allowed now.
func (t *Traffic) State(now time.Time) State {
	return State{
		Wait: t.Wait(), Smoothed: t.RoundTrip(now), Starts: t.starts.UnderWay(), StartLimit: t.starts.Current(),
		LookGap: t.LookGap(now),
	}
}

// LogValue implements slog.LogValuer.
func (s State) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("wait_ms", s.Wait.Milliseconds()), slog.Int64("smoothed_ms", s.Smoothed.Milliseconds()),
		slog.Int("starts", s.Starts), slog.Int("start_limit", s.StartLimit), slog.Int64("look_gap_ms", s.LookGap.Milliseconds()),
	)
}
