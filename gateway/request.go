package gateway

import (
	"net/http"
	"time"
)

// Request is one request of a caller, read whole.
type Request struct {
	// Service is the service that it is for.
	Service string
	// Method is its HTTP method.
	Method string
	// Target is the path and query below the service, beginning with "/".
	Target string
	// Header is its end-to-end headers; see EndToEndHeaders.
	Header http.Header
	// Body is its whole body.
	Body []byte
	// Key is its idempotency key, or empty.
	Key string
	// Deadline is when its caller wants the answer; nothing is dispatched
	// later.
	Deadline time.Time

	// id identifies the request in logs of endpoints.
	id string
	// forwarded is set on a request from a peer, which is not forwarded
	// again, nor queued or retried here: its first host does that.
	forwarded bool
}
