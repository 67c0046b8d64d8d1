package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/fireflygate/fireflygate/booking"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/routing"
)

// Call serves one request. The response is set if and only if the refusal's
// kind is Answered. Reading its body may still fail, which means that the
// answer is truncated. Call returns early when ctx ends.
func (g *Gateway) Call(ctx context.Context, req Request) (*Response, outcome.Refusal) {
	start := time.Now()
	if r, ok := g.beginRequest(req.Service); !ok {
		return nil, r
	}
	defer g.endRequest()
	req.id = uuid.NewString()
	resp, refusal := g.serve(ctx, req)
	g.observeRequest(req.Service, time.Since(start), refusal)
	return resp, refusal
}

// beginRequest counts a request as active and adds it to the retry budget, or
// returns the refusal.
func (g *Gateway) beginRequest(service string) (outcome.Refusal, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.services[service] {
		return notRun(ReasonUnknownService, 0), false
	}
	if g.stopping {
		return notRun(ReasonStopping, defaultRetryAfter), false
	}
	g.active++
	g.budget.AddRequest()
	return outcome.Refusal{}, true
}

func (g *Gateway) endRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	g.notifyWaiters()
}

func (g *Gateway) observeRequest(service string, took time.Duration, r outcome.Refusal) {
	g.metrics.observeRequest(service, took, r)
	if g.opt.Observe != nil {
		g.opt.Observe(service, took, r.Kind)
	}
}

func (g *Gateway) serve(ctx context.Context, req Request) (*Response, outcome.Refusal) {
	if req.Key == "" {
		return g.callWithRetries(ctx, req)
	}
	if g.opt.Bookings == nil {
		return nil, notRun(ReasonNoBookings, 0)
	}
	given := time.Until(req.Deadline)
	wait, cancel := g.withAnswerDeadline(ctx, req.Deadline)
	defer cancel()
	id := booking.Request{
		Service: req.Service,
		Key:     req.Key,
		Digest:  booking.Digest(req.Method, req.Target, req.Body),
	}
	answer, refusal := g.opt.Bookings.Do(wait, id, func(run context.Context) (booking.Response, outcome.Refusal) {
		if g.startsLate(req, given) {
			return booking.Response{}, notRun(ReasonDeadline, defaultRetryAfter)
		}
		return g.runBooked(run, req)
	})
	if refusal.Kind != outcome.Answered {
		return nil, refusal
	}
	return fromBooking(answer), refusal
}

// startsLate reports whether a booking's claim took so long that its outcome would
// probably come after the deadline. Such a booking is better refused as not run, which
// its caller can repeat, than started with an unknown outcome. given is the time that
// the booking had until its deadline when it came.
func (g *Gateway) startsLate(req Request, given time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	perSecond, each := g.pool.Rate(now, req.Service, g.opt.Ownership.Snapshot())
	_, each = g.queue(req.Service).DrainRate(g.pauses.RunningTime(now), perSecond, each)
	return now.After(routing.StartDeadline(req.Deadline, given, each))
}

// runBooked runs a claimed request until its outcome is known, which may be
// after the caller's deadline.
func (g *Gateway) runBooked(ctx context.Context, req Request) (booking.Response, outcome.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(g.opt.MaxRun))
	defer cancel()
	resp, refusal := g.callWithRetries(ctx, req)
	if refusal.Kind != outcome.Answered {
		return booking.Response{}, refusal
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return booking.Response{}, unknownOutcome(ReasonCutOff)
	}
	return booking.Response{Status: resp.Status, Header: resp.Header, Body: body}, answered()
}

// idempotent reports whether the request may safely run more than once.
func (g *Gateway) idempotent(req Request) bool {
	if req.Key != "" {
		return false
	}
	if g.opt.Service != nil {
		if m := g.opt.Service(req.Service).IdempotentMethods; m != nil {
			return slices.Contains(m, req.Method)
		}
	}
	return req.Method == http.MethodGet || req.Method == http.MethodHead
}
