package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/routing"
)

// unprocessedHeader on a 503 response means that the endpoint did not run the
// request.
const unprocessedHeader = "Fireflygate-Unprocessed"

// requestIDHeader carries the request's ID to the endpoint.
const requestIDHeader = "Fireflygate-Request-Id"

// maxBufferedResponse is the size in bytes below which a response is read
// completely before it is passed on; larger ones are streamed.
const maxBufferedResponse = 64 << 10

// exchange is one request at one endpoint. It continues after its caller has
// left, because it holds its slot until the endpoint must be done.
type exchange struct {
	g       *Gateway
	req     Request
	slot    *routing.Slot
	client  *endpointClient
	attempt *attempt
	result  chan result
	start   time.Time
	// sentAt is when the write was permitted.
	sentAt time.Time
	// cancel cancels the transport's work on the request; limit calls handleOverdue.
	cancel context.CancelFunc
	limit  *time.Timer

	// The following fields are guarded by g.mu.

	// begunBy is when the endpoint is known to have begun the request, zero if it isn't.
	begunBy time.Time
	// answering is set once the endpoint has begun to answer.
	answering bool
	// overdue is set if the endpoint didn't answer in time.
	overdue bool
	// resultSent is set once result has received the only result.
	resultSent bool
}

// result is the response or refusal for the caller.
type result struct {
	resp    *Response
	refusal outcome.Refusal
}

// dispatch sends the request to the slot's endpoint and waits for the result.
func (g *Gateway) dispatch(ctx context.Context, req Request, s *routing.Slot) (*Response, outcome.Refusal) {
	x := &exchange{g: g, req: req, slot: s, result: make(chan result, 1), start: time.Now()}
	x.attempt = &attempt{permit: x.permit, written: x.markWritten, end: requestEnd{bodyLeft: len(req.Body)}}
	g.mu.Lock()
	x.client = g.clients[s.Endpoint().Name]
	if x.client == nil {
		g.releaseSlot(s)
		g.mu.Unlock()
		return nil, notRun(ReasonUnreachable, defaultRetryAfter)
	}
	g.mu.Unlock()
	// The exchange must outlive its caller, so it doesn't use the caller's
	// context.
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	x.cancel = cancel
	x.limit = time.AfterFunc(dialTimeout+g.opt.MaxRun, x.handleOverdue)
	g.background.Go(func() { x.run(run) })
	return x.wait(ctx)
}

// permit reports whether the request may still be written, and records the time
// as sentAt. It is called just before the first byte.
func (x *exchange) permit() bool {
	now := time.Now()
	if !now.Before(x.req.Deadline) {
		return false
	}
	x.sentAt = now
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if !x.g.pool.MayWrite(now, x.slot, x.g.opt.Ownership.Snapshot()) {
		return false
	}
	x.client.sent.add(x)
	return true
}

// wait returns the result, or a refusal after maxWait or when ctx ends. It then
// cancels the request if no byte was sent; otherwise the outcome is unknown and
// a later response is discarded.
func (x *exchange) wait(ctx context.Context) (*Response, outcome.Refusal) {
	deadline := time.Now().Add(x.maxWait())
	limit := time.NewTimer(time.Until(deadline))
	defer limit.Stop()
	select {
	case r := <-x.result:
		return r.resp, r.refusal
	case <-ctx.Done():
	case <-limit.C:
	}
	if x.attempt.cancel() {
		x.stop()
		return nil, notRun(ReasonDeadline, defaultRetryAfter)
	}
	if r, ok := x.resultAfterPause(ctx, deadline); ok {
		return r.resp, r.refusal
	}
	go x.discard()
	return nil, unknownOutcome(ReasonNoAnswer)
}

// resultAfterPause returns the result if there is one when the wait is to be given up,
// which after a pause of the process is later than its deadline. It doesn't wait for a
// caller that has left.
func (x *exchange) resultAfterPause(ctx context.Context, deadline time.Time) (result, bool) {
	until := deadline
	if !errors.Is(ctx.Err(), context.Canceled) {
		until = x.g.giveUpAt(x.start, deadline)
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case r := <-x.result:
		return r, true
	case <-timer.C:
	}
	select {
	case r := <-x.result:
		return r, true
	default:
		return result{}, false
	}
}

// maxWait is how long to wait for the result. A booked request is awaited for
// MaxRun longer, so that its outcome can be stored.
func (x *exchange) maxWait() time.Duration {
	left := time.Until(x.req.Deadline)
	if x.req.Key != "" {
		left += x.g.opt.MaxRun
	}
	return left
}

// discard closes a response that no caller waits for, so that its slot is
// freed.
func (x *exchange) discard() {
	if r := <-x.result; r.resp != nil {
		r.resp.Body.Close()
	}
}

// stop cancels the transport's work on the request, if any is left, and its time limit.
func (x *exchange) stop() {
	x.limit.Stop()
	x.cancel()
}

// run sends the request and delivers the response.
func (x *exchange) run(ctx context.Context) {
	resp, err := x.client.transport.RoundTrip(x.request(ctx))
	switch {
	case err != nil:
		x.stop()
		x.handleTransportError()
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(unprocessedHeader) == "1":
		x.handleUnprocessed(resp)
	default:
		x.deliverResponse(resp)
	}
}

// deliver sends the result to the caller, unless it has got one already.
func (x *exchange) deliver(r result) {
	x.g.mu.Lock()
	first := !x.resultSent
	x.resultSent = true
	x.g.mu.Unlock()
	if first {
		x.result <- r
	}
}

func (x *exchange) request(ctx context.Context) *http.Request {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { i.Conn.(*endpointConn).setAttempt(x.attempt) },
	})
	r := &http.Request{
		Method:        x.req.Method,
		URL:           &url.URL{Scheme: "http", Host: x.client.address, Opaque: x.req.Target},
		Header:        x.header(),
		ContentLength: int64(len(x.req.Body)),
		Host:          x.client.address,
	}
	if len(x.req.Body) > 0 {
		// GetBody is not set, so that net/http can't send the body again.
		r.Body = io.NopCloser(bytes.NewReader(x.req.Body))
	}
	return r.WithContext(ctx)
}

func (x *exchange) header() http.Header {
	h := x.req.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // suppresses the default of net/http
	}
	h.Set(requestIDHeader, x.req.id)
	return h
}

// markWritten ends the request's write window, so that the next request can be
// written.
func (x *exchange) markWritten() {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.pool.WriteDone(x.slot)
	x.g.serveQueue(time.Now(), x.req.Service)
}
