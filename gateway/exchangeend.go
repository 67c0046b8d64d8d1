package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/routing"
)

// failed ends an exchange without an answer.
func (x *exchange) failed() {
	if x.attempt.cancel() {
		x.unsent()
		return
	}
	x.observe(routing.Result{Sent: true, Failed: true})
	x.result <- result{refusal: unknownOutcome(ReasonNoAnswer)}
	x.endAfterLongestRun()
}

// unsent ends an exchange of which no byte was written, nor will be.
func (x *exchange) unsent() {
	refusal := notRun(ReasonUnreachable, soon)
	switch {
	case x.expired():
		refusal = notRun(ReasonDeadline, soon)
	case x.attempt.wasRefused():
		refusal = notRun(ReasonGrantLapsed, soon)
	default:
		x.observe(routing.Result{Failed: true})
	}
	x.end()
	x.result <- result{refusal: refusal}
}

// expired reports whether the caller's time is over.
func (x *exchange) expired() bool { return !time.Now().Before(x.req.Deadline) }

// unprocessed ends an exchange that the endpoint refused to run.
func (x *exchange) unprocessed(resp *http.Response) {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, wholeAnswer))
	resp.Body.Close()
	x.stop()
	x.observe(routing.Result{Sent: true, Failed: true})
	if err == nil {
		x.end()
	} else {
		x.endAfterLongestRun()
	}
	x.result <- result{refusal: notRun(ReasonUnprocessed, soon)}
}

// observe has the pool learn from the exchange. What this process missed by
// standing still isn't the endpoint's: counted as its latency, a pause of a
// second made admission refuse calls that free slots could have answered.
func (x *exchange) observe(r routing.Result) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	now := time.Now()
	stood := x.g.stood.PausedWithin(x.start, now)
	if r.Failed && stood > 0 {
		return // it may have answered in time
	}
	r.Latency = now.Sub(x.start) - stood
	if x.g.pool.Observe(now, x.slot, r) {
		x.g.metrics.ejections.Inc()
		event.EndpointEjected.Log(x.g.opt.Log, endpointAttr(x.slot))
	}
}

// end frees the slot: the endpoint is done.
func (x *exchange) end() {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.release(x.slot)
}

// endAfterLongestRun frees the slot once the endpoint must be done. A broken
// connection does not stop what runs there.
func (x *exchange) endAfterLongestRun() {
	x.g.mu.Lock()
	x.g.pool.WriteDone(x.slot)
	x.g.mu.Unlock()
	x.g.background.Add(1)
	left := x.g.opt.MaxRun - time.Since(x.sentAt)
	time.AfterFunc(max(left, 0), func() {
		defer x.g.background.Done()
		x.end()
	})
}
