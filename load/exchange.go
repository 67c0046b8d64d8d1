package load

import (
	"net/http"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
)

// Exchange is a request and its result.
type Exchange struct {
	// ID is unique among requests.
	ID string
	// Target is the entry host's base URL.
	Target string
	// Key is the idempotency key, if any.
	Key  string
	Body []byte
	// Due is when the request should be sent, Sent when it was sent and Done when
	// the response or an error was received.
	Due, Sent, Done time.Time
	Outcome         outcome.Kind
	Status          int
	// Reason is the problem's name or the transport's error.
	Reason string
	// Header and Answer are the header and body of the response.
	Header http.Header
	Answer []byte
	// Retried is set if this is the second sending of a booking.
	Retried bool
}
