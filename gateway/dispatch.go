package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/routing"
)

// unprocessedHeader on a 503 of an endpoint says that it did not run the
// request.
const unprocessedHeader = "Fireflygate-Unprocessed"

// requestIDHeader names the request to the endpoint.
const requestIDHeader = "Fireflygate-Request-Id"

// wholeAnswer is the largest answer, in bytes, that is read whole before the
// caller gets any of it; larger ones are streamed.
const wholeAnswer = 64 << 10

// exchange is one request at one endpoint. It goes on without its caller
// until the endpoint is surely done, since the slot is in use until then.
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
	// stop ends the transport's work on the request.
	stop context.CancelFunc
}

// result is what the caller of an exchange is told.
type result struct {
	resp    *Response
	refusal outcome.Refusal
}

// dispatch sends the request to the slot's endpoint.
func (g *Gateway) dispatch(ctx context.Context, req Request, s *routing.Slot) (*Response, outcome.Refusal) {
	x := &exchange{g: g, req: req, slot: s, result: make(chan result, 1), start: time.Now()}
	x.attempt = &attempt{permit: x.permit}
	g.mu.Lock()
	x.client = g.clients[s.Endpoint().Name]
	if x.client == nil {
		g.release(s)
		g.mu.Unlock()
		return nil, notRun(ReasonUnreachable, soon)
	}
	g.mu.Unlock()
	// Not the caller's context: the request goes on without its caller.
	run, stop := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout+g.opt.MaxRun)
	x.stop = stop
	g.background.Go(func() { x.run(run) })
	return x.wait(ctx)
}

// permit is asked just before the first byte is written.
func (x *exchange) permit() bool {
	now := time.Now()
	if !now.Before(x.req.Deadline) {
		return false
	}
	x.sentAt = now
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.pool.MayWrite(now, x.slot, x.g.opt.Ownership.Snapshot())
}

// wait returns the result, or gives up at the deadline or with the caller.
func (x *exchange) wait(ctx context.Context) (*Response, outcome.Refusal) {
	limit := time.NewTimer(x.patience())
	defer limit.Stop()
	select {
	case r := <-x.result:
		return r.resp, r.refusal
	case <-ctx.Done():
	case <-limit.C:
	}
	if x.attempt.cancel() {
		x.stop()
		return nil, notRun(ReasonDeadline, soon)
	}
	select {
	case r := <-x.result:
		return r.resp, r.refusal
	default:
	}
	go x.discard()
	return nil, unknownOutcome(ReasonNoAnswer)
}

// patience is how long the caller waits. A booked request is waited for to
// its end, so that its outcome can be kept.
func (x *exchange) patience() time.Duration {
	left := time.Until(x.req.Deadline)
	if x.req.Key != "" {
		left += x.g.opt.MaxRun
	}
	return left
}

// discard reads the answer that nobody waits for, so that its slot is freed.
func (x *exchange) discard() {
	if r := <-x.result; r.resp != nil {
		r.resp.Body.Close()
	}
}

// run sends the request and hands the answer over.
func (x *exchange) run(ctx context.Context) {
	resp, err := x.client.transport.RoundTrip(x.request(ctx))
	switch {
	case err != nil:
		x.stop()
		x.failed()
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(unprocessedHeader) == "1":
		x.unprocessed(resp)
	default:
		x.answer(resp)
	}
}

func (x *exchange) request(ctx context.Context) *http.Request {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { i.Conn.(*endpointConn).arm(x.attempt) },
		WroteRequest: func(httptrace.WroteRequestInfo) { x.written() },
	})
	r := &http.Request{
		Method:        x.req.Method,
		URL:           &url.URL{Scheme: "http", Host: x.client.address, Opaque: x.req.Target},
		Header:        x.header(),
		ContentLength: int64(len(x.req.Body)),
		Host:          x.client.address,
	}
	if len(x.req.Body) > 0 {
		// No GetBody: net/http must not be able to send it again.
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
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	h.Set(requestIDHeader, x.req.id)
	return h
}

// written ends the time in the write window, which may let the next request in.
func (x *exchange) written() {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.pool.WriteDone(x.slot)
	x.g.serveQueue(time.Now(), x.req.Service)
}
