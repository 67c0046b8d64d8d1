package load

import (
	"net/http"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
)

// Exchange is one request and what became of it.
type Exchange struct {
	// ID is unique among requests.
	ID string
	// Target is the entry host's base URL.
	Target string
	// Key is the idempotency key, if any.
	Key  string
	Body []byte
	// Due is when the request was to be sent; Sent when it was.
	Due, Sent, Done time.Time
	Outcome         outcome.Kind
	Status          int
	// Reason is the problem's name or the transport's error.
	Reason string
	Header http.Header
	Answer []byte
	// Retried is set on the second sending of a booking.
	Retried bool
}
