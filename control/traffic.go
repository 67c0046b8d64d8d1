package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/runner"
)

// lateSlack is by how much a time limit may be noticed before it is over.
const lateSlack = 10 * time.Millisecond

// traffic is an owner's traffic with its workers. It belongs to the owner's
// loop, but for the wait, which sessions read.
type traffic struct {
	*flow.Traffic
	// wait is the time, in nanoseconds, to wait for an answer.
	wait atomic.Int64
}

// newTraffic returns the traffic of an owner that has sent nothing.
func newTraffic() *traffic {
	t := &traffic{Traffic: flow.NewTraffic()}
	t.wait.Store(int64(t.Timeout()))
	return t
}

// orderWait returns how long to wait for the answer to an order.
func (t *traffic) orderWait() time.Duration { return time.Duration(t.wait.Load()) }

// startWait is how long a start may wait behind other orders to its worker. One
// that waited longer was meant for a state that may have passed: a copy of a
// task that is done by now, a job that was cancelled. It is less than the wait
// for an answer, so that nothing goes out behind an order that hangs.
func (t *traffic) startWait() time.Duration { return t.orderWait() * 5 / 6 }

// send gives an order, waits for its answer and measures how long that takes.
// Held is how long the worker is asked to hold its answer.
func (t *traffic) send(ctx context.Context, held time.Duration, order func(context.Context) runner.Answer) (runner.Answer, flow.RoundTrip) {
	wait := t.orderWait() + held
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	begun := boottime()
	a := order(ctx)
	took := max(boottime()-begun, 1)
	return a, flow.RoundTrip{Duration: took, TimedOut: a.Status == runner.Unknown && took >= wait-lateSlack}
}

// measured takes in the way of an order that the worker answered at once, or
// that got no answer in time.
func (t *traffic) measured(now time.Time, w flow.RoundTrip) {
	t.Observe(now, w)
	t.wait.Store(int64(t.Timeout()))
}
