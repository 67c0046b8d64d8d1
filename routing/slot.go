package routing

import "time"

// Slot is the right to send one request to one endpoint. It counts against
// the endpoint until Release.
type Slot struct {
	backend  *backend
	writing  bool
	released bool
}

// Endpoint returns the endpoint that the slot is of.
func (s *Slot) Endpoint() Endpoint { return s.backend.Endpoint }

// Result says how a request to an endpoint ended.
type Result struct {
	// Latency is from the write to the whole answer, or to the failure.
	Latency time.Duration
	// Sent is whether any byte was written.
	Sent bool
	// Failed is whether it counts against the endpoint.
	Failed bool
}
