package gateway

import (
	"io"
	"net/http"

	"github.com/fireflygate/fireflygate/routing"
)

// answer hands an endpoint's answer over: whole if it is small, as a stream
// otherwise.
func (x *exchange) answer(resp *http.Response) {
	body := &answerBody{x: x, resp: resp}
	if reason := x.unacceptable(resp); reason != "" {
		body.fail()
		x.result <- result{refusal: unknownOutcome(reason)}
		return
	}
	head, err := io.ReadAll(io.LimitReader(body, wholeAnswer))
	if err != nil {
		x.result <- result{refusal: unknownOutcome(ReasonCutOff)}
		return
	}
	header := EndToEndHeaders(resp.Header)
	if int64(len(head)) < wholeAnswer {
		x.result <- result{wholeResponse(resp.StatusCode, header, head), whole()}
		return
	}
	body.head = head
	x.result <- result{&Response{resp.StatusCode, header, body, resp.ContentLength}, whole()}
}

// unacceptable returns why an answer can't be passed on, if so. One without a
// length that ends with its connection can't be told from one that was cut
// off.
func (x *exchange) unacceptable(resp *http.Response) string {
	if resp.ContentLength > x.g.calls().MaxBody {
		return ReasonTooLarge
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && resp.Body != http.NoBody {
		return ReasonCutOff
	}
	return ""
}

// answerBody reads an answer's body and ends its exchange with it.
type answerBody struct {
	x     *exchange
	resp  *http.Response
	head  []byte // read before, given out first
	size  int64
	ended bool
	// err is what reads return once ended.
	err error
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
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
	case b.size > b.x.g.calls().MaxBody:
		b.fail()
		return 0, errTooLarge
	case err == io.EOF:
		b.done()
	case err != nil:
		b.fail()
	}
	return n, err
}

// Close implements io.Closer. The rest of a body that was not read to its end
// is read in the background.
func (b *answerBody) Close() error {
	b.head = nil
	if !b.ended {
		b.x.g.background.Go(func() { _, _ = io.Copy(io.Discard, b) })
	}
	return nil
}

// done ends the exchange with a whole answer.
func (b *answerBody) done() {
	if b.ended {
		return
	}
	b.ended = true
	b.err = io.EOF
	b.resp.Body.Close()
	b.x.stop()
	failed := b.resp.StatusCode >= http.StatusInternalServerError
	b.x.observe(routing.Result{Sent: true, Failed: failed})
	b.x.end()
}

// fail ends the exchange with an answer that is not whole.
func (b *answerBody) fail() {
	if b.ended {
		return
	}
	b.ended = true
	b.err = errCutOff
	b.resp.Body.Close()
	b.x.stop()
	b.x.observe(routing.Result{Sent: true, Failed: true})
	b.x.endAfterLongestRun()
}
