package load

import (
	"net/http"
	"time"
)

// Config is what traffic to send.
type Config struct {
	// Targets are base URLs of entry hosts; requests go to them in turn, as
	// the platform's balancer would send them.
	Targets func() []string
	// Service and Path are what is called.
	Service string
	Path    string
	// Rate is requests a second, as a function of the time since the start.
	Rate func(since time.Duration) float64
	// Duration is how long to send.
	Duration time.Duration
	// Bookings is the share of requests that carry an idempotency key; each
	// of them is sent a second time with probability Repeat.
	BookingShare      float64
	RepeatProbability float64
	// Timeout is the deadline of a request.
	Timeout time.Duration
	// MaxInFlight bounds unanswered requests. A request that would exceed it
	// is counted as skipped, as is one that was due while the sender itself
	// stood still; none is sent late.
	MaxInFlight int
	// Seed makes arrivals and choices repeatable.
	Seed uint64
	// Prepare, if set, may change each request before it is sent, from many
	// goroutines.
	Prepare func(*http.Request, Exchange)
	// Observe is called with each finished request, from many goroutines.
	Observe func(Exchange)
}
