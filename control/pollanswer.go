package control

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/runner"
)

// lateAnswerWait is how long after its timeout the answer to a poll is still used. A
// worker whose answers are all delayed would otherwise count as unresponsive until its
// leases expire.
const lateAnswerWait = 2500 * time.Millisecond

// pollAnswer is a worker's answer to a poll, with its report.
type pollAnswer struct {
	answer runner.Answer
	report runner.Report
}

// sendAwaitingLate sends an order and returns the answer, or runner.Unknown if there is
// none within the timeout. It calls over once the order has ended, at the latest
// lateAnswerWait after the timeout; late says that this answer wasn't returned.
func sendAwaitingLate(ctx context.Context, timeout time.Duration, order func(context.Context) pollAnswer, over func(a pollAnswer, late bool)) (pollAnswer, flow.RoundTrip) {
	ctx, cancel := context.WithTimeout(ctx, timeout+lateAnswerWait)
	answered := make(chan pollAnswer) // taken once, by the caller or as a late answer
	timedOut := make(chan struct{})
	start := boottime()
	go func() {
		defer cancel()
		a := order(ctx)
		select {
		case answered <- a:
			over(a, false)
		case <-timedOut:
			over(a, a.answer.Status != runner.Unknown)
		}
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case a := <-answered:
		return a, newRoundTrip(a.answer.Status, boottime()-start, timeout)
	case <-timer.C:
		close(timedOut)
		unknown := pollAnswer{answer: runner.Answer{Status: runner.Unknown, Err: context.DeadlineExceeded}}
		return unknown, newRoundTrip(runner.Unknown, max(boottime()-start, timeout), timeout)
	}
}
