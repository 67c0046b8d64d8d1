package gateway

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/ingress"
	"github.com/fireflygate/fireflygate/outcome"
)

// httpCall is the state of one HTTP request that Middleware and Service share.
type httpCall struct {
	request *http.Request
	arrived time.Time
	// response is the endpoint's response, if there is one.
	response *Response
	// refusal is the reason if the request was refused.
	refusal outcome.Refusal
}

type httpCallKey struct{}

// readBody reads the complete body, limited in time and size. It sets refusal to the
// response if reading fails.
func (c *httpCall) readBody(limit int64) ([]byte, error) {
	c.refusal = outcome.Refusal{Kind: outcome.NotRun}
	if c.request.Body == http.NoBody {
		return nil, nil
	}
	// The memory is returned to the budget at the end of the request.
	data, _, err := ingress.ReadBody(c.request, limit)
	var refused *ingress.RefusedError
	switch {
	case err == nil:
		return data, nil
	case !errors.As(err, &refused):
		return nil, badRequest("the body was not read whole")
	case refused.Cause == ingress.CauseBodySize:
		return nil, badRequest("the body is larger than calls.max_body")
	default:
		c.refusal = notRun(string(refused.Cause), ingress.RetryAfter)
		return nil, newProblem(c.refusal)
	}
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
