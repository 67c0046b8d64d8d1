package gateway

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/routing"
)

const (
	// retryDelay is the mean delay before a retry, which is uniformly
	// distributed from 0 to twice this value.
	retryDelay = 10 * time.Millisecond
	// maxAttempts is the largest number of attempts for one request.
	maxAttempts = 3
)

// callWithRetries runs the request and retries it where that is safe and
// within the budget.
func (g *Gateway) callWithRetries(ctx context.Context, req Request) (*Response, outcome.Refusal) {
	ran := ""
	for n := 1; ; n++ {
		resp, refusal := g.attemptOnce(ctx, req)
		if refusal.Kind == outcome.Answered || n == maxAttempts || !g.mayRetry(ctx, req, refusal) {
			return resp, combineRefusals(refusal, ran)
		}
		if refusal.Kind == outcome.Unknown {
			ran = refusal.Reason
		}
		if !g.waitBeforeRetry(ctx, req.Deadline) {
			return resp, combineRefusals(refusal, ran)
		}
		g.metrics.retries.Inc()
	}
}

// combineRefusals returns the refusal for the caller after the last attempt.
// If an earlier attempt may have run, with reason ran, the outcome stays
// unknown even if the last one did not run.
func combineRefusals(r outcome.Refusal, ran string) outcome.Refusal {
	if r.Kind == outcome.NotRun && ran != "" {
		r.Kind, r.Reason = outcome.Unknown, ran
	}
	return r
}

// mayRetry reports whether another attempt is safe and useful, and takes it
// from the retry budget.
func (g *Gateway) mayRetry(ctx context.Context, req Request, r outcome.Refusal) bool {
	if isFinalRefusal(r.Reason) || ctx.Err() != nil || !time.Now().Before(req.Deadline) {
		return false
	}
	if r.Kind == outcome.Unknown && !g.idempotent(req) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.stopping && g.budget.TakeRetry()
}

// isFinalRefusal reports whether a refusal for this reason is returned to the
// caller without a retry.
func isFinalRefusal(reason string) bool {
	switch reason {
	case routing.ReasonQueueFull, routing.ReasonDeadlineUnreachable, routing.ReasonOverloaded, ReasonDeadline, ReasonStopping, ReasonTooLarge, ReasonUnserved:
		return true
	default:
		return false
	}
}

// waitBeforeRetry waits for a random delay. It returns false if the deadline
// or the end of ctx comes first.
func (g *Gateway) waitBeforeRetry(ctx context.Context, deadline time.Time) bool {
	g.mu.Lock()
	d := time.Duration(g.rng.Int64N(int64(2 * retryDelay)))
	g.mu.Unlock()
	if time.Until(deadline) <= d {
		return false
	}
	return pause.For(ctx, d)
}
