package gateway

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/routing"
)

const (
	// retryDelay is the mean pause before a retry; it is drawn evenly from 0
	// to twice this.
	retryDelay = 10 * time.Millisecond
	// maxTries bounds the tries of one request.
	maxTries = 3
)

// try runs the request, again where that is safe and within the budget.
func (g *Gateway) try(ctx context.Context, req Request) (*Response, outcome.Refusal) {
	ran := ""
	for n := 1; ; n++ {
		resp, refusal := g.once(ctx, req)
		if refusal.Kind == outcome.Answered || n == maxTries || !g.mayRetry(ctx, req, refusal) {
			return resp, ofAllTries(refusal, ran)
		}
		if refusal.Kind == outcome.Unknown {
			ran = refusal.Reason
		}
		if !g.pause(ctx, req.Deadline) {
			return resp, ofAllTries(refusal, ran)
		}
		g.metrics.retries.Inc()
	}
}

// ofAllTries returns the refusal of a request's last try as its caller may be
// told it: once an earlier try may have run, for the reason ran, a last one
// that did not run says nothing of the request.
func ofAllTries(r outcome.Refusal, ran string) outcome.Refusal {
	if r.Kind == outcome.NotRun && ran != "" {
		r.Kind, r.Reason = outcome.Unknown, ran
	}
	return r
}

// mayRetry reports whether another try is safe and useful, and spends the
// budget for it.
func (g *Gateway) mayRetry(ctx context.Context, req Request, r outcome.Refusal) bool {
	if final(r.Reason) || ctx.Err() != nil || !time.Now().Before(req.Deadline) {
		return false
	}
	if r.Kind == outcome.Unknown && !g.idempotent(req) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.stopping && g.budget.TakeRetry()
}

// final reports whether admission gave the request up: its caller is told at
// once, and when to come back.
func final(reason string) bool {
	switch reason {
	case routing.ReasonQueueFull, routing.ReasonDeadlineUnreachable, routing.ReasonOverloaded, ReasonDeadline, ReasonStopping, ReasonTooLarge, ReasonUnserved:
		return true
	default:
		return false
	}
}

// pause waits a random short time, and reports whether time is left after it.
func (g *Gateway) pause(ctx context.Context, deadline time.Time) bool {
	g.mu.Lock()
	d := time.Duration(g.rng.Int64N(int64(2 * retryDelay)))
	g.mu.Unlock()
	if time.Until(deadline) <= d {
		return false
	}
	return pause.For(ctx, d)
}
