// Package peer carries messages between entry hosts: framed msgpack over
// TCP, with correlation, deadlines carried as remaining time, and bounds.
package peer

import (
	"context"

	"github.com/fireflygate/fireflygate/outcome"
)

// Method names a kind of request between entry hosts.
type Method string

// Result says what became of a request to a peer.
type Result struct {
	// Kind is Answered when the peer's whole answer was read; NotRun when no
	// byte of the request was sent or the peer refused it before any handler
	// saw it; Unknown otherwise, also when the handler returned an error.
	Kind outcome.Kind
	// Err is the transport's or the handler's error, nil when answered.
	Err error
}

// Transport sends requests to entry hosts by name.
type Transport interface {
	// Call sends request (a msgpack-encodable struct) and decodes the answer
	// into reply, a pointer. The context's deadline travels as remaining
	// time.
	Call(ctx context.Context, host string, method Method, request, reply any) Result
}

// Handler answers one request. The decode function reads the request into a
// pointer; the value returned is encoded as the answer.
type Handler func(ctx context.Context, from string, decode func(any) error) (any, error)

// Mux takes handlers by method. Register before the server starts.
type Mux interface {
	Handle(method Method, h Handler)
}
