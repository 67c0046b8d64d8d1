package faultproxy

import "time"

// Faults are the faults injected on every connection. The zero value forwards
// all bytes unchanged.
type Faults struct {
	// Refuse closes new connections as soon as they are accepted.
	Refuse bool
	// Freeze holds bytes in both directions until it is cleared.
	Freeze bool
	// Delay is how long each chunk is held before it is forwarded.
	Delay time.Duration
	// DropToTarget and DropToClient discard the bytes of one direction.
	DropToTarget, DropToClient bool
	// ResetAfter is the number of bytes forwarded from the client after which
	// the connection is reset. 0 means no limit.
	ResetAfter int64
}
