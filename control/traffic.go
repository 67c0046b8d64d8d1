package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/runner"
)

// timeoutTolerance is the tolerance for timers that fire early.
const timeoutTolerance = 10 * time.Millisecond

// traffic is an owner's traffic with its workers. It is confined to the owner's
// loop, except for orderTimeout.
type traffic struct {
	*flow.Traffic
	// timeoutNS is the order timeout in nanoseconds.
	timeoutNS atomic.Int64
}

// newTraffic returns the traffic of an owner that has sent no orders.
func newTraffic() *traffic {
	t := &traffic{Traffic: flow.NewTraffic()}
	t.timeoutNS.Store(int64(t.Timeout()))
	return t
}

// orderTimeout returns how long to wait for the answer to an order. It is safe
// for concurrent use.
func (t *traffic) orderTimeout() time.Duration { return time.Duration(t.timeoutNS.Load()) }

// maxStartDelay returns how long a start may be queued behind other orders to
// its worker. It is below the order timeout, so that most starts behind an order that
// times out aren't sent: each would hold the queue for another timeout, and its task can
// be placed elsewhere. Whether a start is still wanted doesn't depend on its age, see
// dispatch.Sending.
func (t *traffic) maxStartDelay() time.Duration { return t.orderTimeout() * 5 / 6 }

// send sends an order and returns the answer and its round trip. The worker may
// hold its answer for the duration hold, which extends the timeout.
func (t *traffic) send(ctx context.Context, hold time.Duration, order func(context.Context) runner.Answer) (runner.Answer, flow.RoundTrip) {
	timeout := t.orderTimeout() + hold
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := boottime()
	a := order(ctx)
	return a, newRoundTrip(a.Status, boottime()-start, timeout)
}

// newRoundTrip returns the round trip of an order with the given result.
func newRoundTrip(status runner.Status, elapsed, timeout time.Duration) flow.RoundTrip {
	return flow.RoundTrip{Duration: max(elapsed, 1), TimedOut: status == runner.Unknown && elapsed >= timeout-timeoutTolerance}
}

// observe records the round trip of an order that the worker answered without
// holding the answer, or that timed out.
func (t *traffic) observe(now time.Time, rt flow.RoundTrip) {
	t.Observe(now, rt)
	t.timeoutNS.Store(int64(t.Timeout()))
}
