package gateway

import (
	"net/http"
	"time"
)

// Request is a complete request of a caller.
type Request struct {
	// Service is the name of the requested service.
	Service string
	Method  string
	// Target is the path and query below the service; it begins with "/".
	Target string
	// Header holds the end-to-end headers; see EndToEndHeaders.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Key is the idempotency key, or empty.
	Key string
	// Deadline is the time by which the caller needs the answer. The request
	// is not dispatched after it.
	Deadline time.Time

	// id identifies the request in logs of endpoints.
	id string
	// forwarded is set on a request from a peer. It is not forwarded, queued
	// or retried here, as the forwarding host does that.
	forwarded bool
}
