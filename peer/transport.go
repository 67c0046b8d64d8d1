// Package peer implements requests between entry hosts: framed msgpack over
// TCP with request IDs, propagated deadlines and limits on size and
// concurrency.
package peer

import (
	"context"

	"github.com/fireflygate/fireflygate/outcome"
)

// Method identifies a kind of request between entry hosts.
type Method string

// Result is the outcome of a request to a peer.
type Result struct {
	// Kind is Answered if the complete reply was read, NotRun if no byte of
	// the request was sent or the peer refused it before any handler ran, and
	// Unknown otherwise, including when the handler returned an error.
	Kind outcome.Kind
	// Err is the error of the transport or the handler, nil if answered.
	Err error
}

// Transport sends requests to entry hosts by name.
type Transport interface {
	// Call sends request, a msgpack-encodable struct, and decodes the answer
	// into reply, a pointer. The peer's handler gets the time left until the
	// context's deadline.
	Call(ctx context.Context, host string, method Method, request, reply any) Result
}

// Handler handles one request. The decode function decodes the request into a
// pointer; the returned value is encoded as the answer.
type Handler func(ctx context.Context, from string, decode func(any) error) (any, error)

// Mux registers handlers by method. Handlers must be registered before the
// server starts.
type Mux interface {
	Handle(method Method, h Handler)
}
