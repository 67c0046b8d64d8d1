package gateway

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
)

// httpCall is the state of one HTTP request that Middleware and Service share.
type httpCall struct {
	request *http.Request
	arrived time.Time
	control *http.ResponseController
	// response is the endpoint's response, if there is one.
	response *Response
	// refusal is the reason if the request was refused.
	refusal outcome.Refusal
}

type httpCallKey struct{}

// readBody reads the complete body, limited in time and size. It sets refusal to
// NotRun, which applies if reading fails.
func (c *httpCall) readBody(body io.Reader, limit int64) ([]byte, error) {
	c.refusal = outcome.Refusal{Kind: outcome.NotRun}
	if c.request.ContentLength > limit {
		return nil, badRequest("the body is larger than calls.max_body")
	}
	if c.request.Body == http.NoBody {
		return nil, nil
	}
	// The error is ignored: response recorders and some wrappers don't support
	// deadlines.
	_ = c.control.SetReadDeadline(c.arrived.Add(bodyTimeout))
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	// Clear the deadline: the server keeps reading to detect that the caller
	// disconnects.
	_ = c.control.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		return nil, badRequest("the body was not read whole")
	case int64(len(data)) > limit:
		return nil, badRequest("the body is larger than calls.max_body")
	}
	return data, nil
}

// writeHeaders sets the response headers and returns the response status.
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
		kind = outcome.NotRun // refused before it reached the gateway
	}
	h.Set(outcome.Header, kind.String())
	if after := c.refusal.RetryAfter; after > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	return status
}
