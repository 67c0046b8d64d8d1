package peernet

// Fault is the fault injected into a request.
type Fault uint8

// Faults of a request.
const (
	// NoFault: the request is handled and answered.
	NoFault Fault = iota
	// Unreachable: no byte of the request is sent.
	Unreachable
	// ReplyLost: the request is handled, but its reply is lost.
	ReplyLost
)
