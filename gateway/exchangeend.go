package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/routing"
)

// handleTransportError ends an exchange without a response.
func (x *exchange) handleTransportError() {
	if x.attempt.cancel() {
		x.finishUnsent()
		return
	}
	x.observe(routing.Result{Sent: true, Failed: true})
	x.deliver(result{refusal: unknownOutcome(ReasonNoAnswer)})
	x.releaseSlotAfterMaxRun()
}

// finishUnsent ends an exchange of which no byte was or will be written.
func (x *exchange) finishUnsent() {
	refusal := notRun(ReasonUnreachable, defaultRetryAfter)
	switch {
	case x.expired():
		refusal = notRun(ReasonDeadline, defaultRetryAfter)
	case x.attempt.notPermitted():
		refusal = notRun(ReasonGrantLapsed, defaultRetryAfter)
	default:
		x.observe(routing.Result{Failed: true})
	}
	x.releaseSlot()
	x.deliver(result{refusal: refusal})
}

// expired reports whether the caller's deadline has passed.
func (x *exchange) expired() bool { return !time.Now().Before(x.req.Deadline) }

// handleUnprocessed ends an exchange that the endpoint refused to run.
func (x *exchange) handleUnprocessed(resp *http.Response) {
	x.recordAnswer()
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedResponse))
	resp.Body.Close()
	x.stop()
	x.observe(routing.Result{Sent: true, Failed: true})
	if err == nil {
		x.releaseSlot()
	} else {
		x.releaseSlotAfterMaxRun()
	}
	x.deliver(result{refusal: notRun(ReasonUnprocessed, defaultRetryAfter)})
}

// observe reports the exchange to the pool. Pauses of this process are
// subtracted from the latency, because they say nothing about the endpoint and
// would make admission refuse calls.
func (x *exchange) observe(r routing.Result) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if x.overdue {
		return // handleOverdue has reported it
	}
	x.observeLocked(r)
}

// observeLocked is observe; x.g.mu must be held.
func (x *exchange) observeLocked(r routing.Result) {
	now := time.Now()
	paused := x.g.pauses.PausedWithin(x.start, now)
	if r.Failed && paused > 0 {
		return // the failure may be due to the pause
	}
	r.Latency = now.Sub(x.start) - paused
	if x.g.pool.Observe(now, x.slot, r) {
		x.g.metrics.ejections.Inc()
		event.EndpointEjected.Log(x.g.opt.Log, endpointAttr(x.slot))
	}
}

// releaseSlot frees the slot. The endpoint must no longer work on the request.
func (x *exchange) releaseSlot() {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.client.sent.remove(x)
	x.g.releaseSlot(x.slot)
}

// releaseSlotAfterMaxRun ends the request's write window at once, and frees the
// slot when MaxRun has passed since the endpoint is known to have begun the request
// or, if it isn't, since the request was sent: the endpoint may continue to run it
// after its connection breaks.
func (x *exchange) releaseSlotAfterMaxRun() {
	x.g.mu.Lock()
	x.g.pool.WriteDone(x.slot)
	left := x.g.opt.MaxRun - time.Since(later(x.sentAt, x.begunBy))
	x.g.mu.Unlock()
	x.g.background.Add(1)
	time.AfterFunc(max(left, 0), func() {
		defer x.g.background.Done()
		x.releaseSlot()
	})
}
