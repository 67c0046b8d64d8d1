package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflygate/fireflygate/ingress"
	"github.com/fireflygate/fireflygate/outcome"
)

// RequestLimits are the limits of a caller's request.
func RequestLimits() ingress.RequestLimits {
	return ingress.RequestLimits{HeaderBytes: maxRequestHeader, HeaderTime: headerTimeout, IdleTime: callerIdleTimeout}
}

// BodyTime returns how long the body of a request may take.
func BodyTime(*http.Request) time.Duration { return bodyTimeout }

// RefuseHeader returns the response, as text, to a request whose header wasn't read whole.
func RefuseHeader(c ingress.Cause) []byte {
	return ingress.Refusal(c, outcome.Header+": "+outcome.NotRun.String()+"\r\n")
}

// Refuse responds to a request whose body wasn't read whole. It has not run.
func Refuse(w http.ResponseWriter, _ *http.Request, err *ingress.RefusedError) {
	p := malformedBody{Name: problemUnavailable, Title: err.Error(), Outcome: outcome.NotRun.String()}
	h := w.Header()
	status := err.Cause.Status()
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(int(ingress.RetryAfter/time.Second)))
	} else {
		p.Name = problemBadRequest
	}
	h.Set("Connection", "close")
	h.Set("Content-Type", "application/json")
	h.Set(outcome.Header, p.Outcome)
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(p)
}
