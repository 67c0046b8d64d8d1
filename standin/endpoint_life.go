package standin

import "sync"

// endpointLife is one life of an endpoint under its name. Requests of an ended life
// count for no other.
type endpointLife struct {
	// number counts the lives, from 1.
	number uint64
	// closed is closed when the life ends.
	closed chan struct{}
	once   sync.Once
	// serial is the number of the last request, running the number of those in
	// progress. Endpoint.mu guards them.
	serial  uint64
	running int
}

func newEndpointLife(number uint64) *endpointLife {
	return &endpointLife{number: number, closed: make(chan struct{})}
}

// end aborts all requests in progress.
func (l *endpointLife) end() { l.once.Do(func() { close(l.closed) }) }
