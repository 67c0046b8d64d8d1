package load

import (
	"net/http"
	"time"
)

// Config configures the traffic.
type Config struct {
	// Targets returns the base URLs of the entry hosts. Requests are sent to them
	// round-robin, as by the platform's balancer.
	Targets func() []string
	// Service and Path are the called service and the path below it.
	Service string
	Path    string
	// Rate returns the requests per second at a time since the start.
	Rate func(since time.Duration) float64
	// Duration is how long to send requests.
	Duration time.Duration
	// BookingShare is the share of requests that have an idempotency key. Each of
	// them is sent a second time with probability RepeatProbability.
	BookingShare      float64
	RepeatProbability float64
	// Timeout is the deadline of a request.
	Timeout time.Duration
	// MaxInFlight bounds requests in flight. A request that would exceed it is
	// skipped, as is one that was due while the sender was paused.
	MaxInFlight int
	// Seed seeds random arrivals and choices.
	Seed uint64
	// Prepare, if not nil, is called with each request before it is sent and may
	// modify it. Calls are concurrent.
	Prepare func(*http.Request, Exchange)
	// Observe, if not nil, is called with each finished request. Calls are
	// concurrent.
	Observe func(Exchange)
}
