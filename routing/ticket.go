package routing

import (
	"container/list"
	"time"
)

// Ticket is one request that waits for a slot.
type Ticket struct {
	// QueuedAt is when it began to wait.
	QueuedAt time.Time
	// WaitDeadline is when waiting on is useless.
	WaitDeadline time.Time
	// Ready is closed by the queue's user once the ticket was taken out and Slot
	// or Peer is set, or neither if it is refused.
	Ready chan struct{}
	// Slot is the slot that the request was given, if any.
	Slot *Slot
	// Peer is the entry host that the request is to be forwarded to, if any.
	Peer string
	// FailedForwards counts the peers that it was sent to from the queue in vain.
	FailedForwards int

	element *list.Element
}
