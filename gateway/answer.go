package gateway

import (
	"io"
	"net/http"

	"github.com/fireflygate/fireflygate/routing"
)

// deliverResponse passes an endpoint's response to the caller: complete if it
// is smaller than maxBufferedResponse, as a stream otherwise. If the response
// can't be passed on, the caller gets an unknown outcome.
func (x *exchange) deliverResponse(resp *http.Response) {
	x.recordAnswer()
	body := &endpointBody{x: x, resp: resp}
	if reason := x.responseProblem(resp); reason != "" {
		body.fail()
		x.deliver(result{refusal: unknownOutcome(reason)})
		return
	}
	if x.isOverdue() {
		_, _ = io.Copy(io.Discard, body) // its end, of any kind, ends the exchange
		return
	}
	head, err := io.ReadAll(io.LimitReader(body, maxBufferedResponse))
	if err != nil {
		x.deliver(result{refusal: unknownOutcome(ReasonCutOff)})
		return
	}
	header := EndToEndHeaders(resp.Header)
	if int64(len(head)) < maxBufferedResponse {
		x.deliver(result{wholeResponse(resp.StatusCode, header, head), answered()})
		return
	}
	body.head = head
	x.deliver(result{&Response{resp.StatusCode, header, body, resp.ContentLength}, answered()})
}

// responseProblem returns the reason why a response can't be passed on, or "".
// A response that is delimited by the end of its connection is refused,
// because it can't be told from a truncated one.
func (x *exchange) responseProblem(resp *http.Response) string {
	if resp.ContentLength > x.g.callSettings().MaxBody {
		return ReasonTooLarge
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && resp.Body != http.NoBody {
		return ReasonCutOff
	}
	return ""
}

// endpointBody reads a response body and ends the exchange at its end.
type endpointBody struct {
	x     *exchange
	resp  *http.Response
	head  []byte // bytes already read, returned first
	size  int64
	ended bool
	// err is returned by Read once ended is set.
	err error
}

// Read implements io.Reader.
func (b *endpointBody) Read(p []byte) (int, error) {
	if len(b.head) > 0 {
		n := copy(p, b.head)
		b.head = b.head[n:]
		return n, nil
	}
	if b.ended {
		return 0, b.err
	}
	n, err := b.resp.Body.Read(p)
	b.size += int64(n)
	switch {
	case b.size > b.x.g.callSettings().MaxBody:
		b.fail()
		return 0, errTooLarge
	case err == io.EOF:
		b.finish()
	case err != nil:
		b.fail()
	}
	return n, err
}

// Close implements io.Closer. It reads the rest of the body in the background,
// at whose end the slot is freed.
func (b *endpointBody) Close() error {
	b.head = nil
	if !b.ended {
		b.x.g.background.Go(func() { _, _ = io.Copy(io.Discard, b) })
	}
	return nil
}

// finish ends the exchange after a complete response.
func (b *endpointBody) finish() {
	if b.ended {
		return
	}
	b.ended = true
	b.err = io.EOF
	b.resp.Body.Close()
	b.x.stop()
	failed := b.resp.StatusCode >= http.StatusInternalServerError
	b.x.observe(routing.Result{Sent: true, Failed: failed})
	b.x.releaseSlot()
}

// fail ends the exchange after a truncated or oversized response.
func (b *endpointBody) fail() {
	if b.ended {
		return
	}
	b.ended = true
	b.err = errCutOff
	b.resp.Body.Close()
	b.x.stop()
	b.x.observe(routing.Result{Sent: true, Failed: true})
	b.x.releaseSlotAfterMaxRun()
}
