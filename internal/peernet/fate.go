package peernet

// Fate is what becomes of a request.
type Fault uint8

// The fates.
const (
	// Arrives: it is handled and answered.
	NoFault Fault = iota
	// Unreachable: no byte of it is sent.
	Unreachable
	// ReplyLost: it is handled, and the answer never comes.
	ReplyLost
)
