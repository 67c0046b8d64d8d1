package gateway

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
)

// httpCall is what Middleware and Service share of one request.
type httpCall struct {
	request *http.Request
	arrived time.Time
	control *http.ResponseController
	// response is set once an endpoint answered.
	response *Response
	// refusal is set once the request was refused.
	refusal outcome.Refusal
}

type httpCallKey struct{}

// readBody reads the whole body, in bounded time and size.
func (c *httpCall) readBody(body io.Reader, limit int64) ([]byte, error) {
	c.refusal = outcome.Refusal{Kind: outcome.NotRun}
	if c.request.ContentLength > limit {
		return nil, badRequest("the body is larger than calls.max_body")
	}
	if c.request.Body == http.NoBody {
		return nil, nil
	}
	// Recorders in tests and some wrappers have no deadlines; the server's
	// connections do.
	_ = c.control.SetReadDeadline(c.arrived.Add(bodyTimeout))
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	// Not kept on: the server reads ahead to learn that the caller left.
	_ = c.control.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		return nil, badRequest("the body was not read whole")
	case int64(len(data)) > limit:
		return nil, badRequest("the body is larger than calls.max_body")
	}
	return data, nil
}

// writeHeaders completes the answer's headers and returns its status.
func (c *httpCall) writeHeaders(h http.Header, status int) int {
	if r := c.response; r != nil {
		for name, values := range r.Header {
			h[name] = values
		}
		if r.Length >= 0 {
			h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
		}
		return r.Status
	}
	kind := c.refusal.Kind
	if kind == outcome.Unknown && status < http.StatusInternalServerError {
		kind = outcome.NotRun // refused before the gateway saw it
	}
	h.Set(outcome.Header, kind.String())
	if after := c.refusal.RetryAfter; after > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	return status
}
