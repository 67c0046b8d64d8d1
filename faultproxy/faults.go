package faultproxy

import "time"

// Faults is what goes wrong on every connection. The zero value passes all.
type Faults struct {
	// Refuse closes new connections at once.
	Refuse bool
	// Freeze holds bytes both ways until it is lifted.
	Freeze bool
	// Delay is how long each piece of bytes is held.
	Delay time.Duration
	// DropToTarget and DropToClient lose the bytes of one direction.
	DropToTarget, DropToClient bool
	// ResetAfter resets a connection once so many bytes from its client
	// were passed on; 0 for never.
	ResetAfter int64
}
