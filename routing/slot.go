package routing

import "time"

// Slot is the permission to send one request to one endpoint. It counts against
// the endpoint until it is released.
type Slot struct {
	backend *backend
	// life is that of the endpoint when the slot was taken.
	life     *life
	writing  bool
	released bool
}

// Endpoint returns the slot's endpoint.
func (s *Slot) Endpoint() Endpoint { return s.backend.Endpoint }

// Result is the result of a request to an endpoint.
type Result struct {
	// Latency is the time from the write to the complete response, or to the
	// failure.
	Latency time.Duration
	// Sent is set if any byte was written.
	Sent bool
	// Failed is set if the result counts as a failure of the endpoint.
	Failed bool
}
