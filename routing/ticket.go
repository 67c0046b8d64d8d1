package routing

import (
	"container/list"
	"time"
)

// Ticket is a request that waits for a slot.
type Ticket struct {
	// QueuedAt is when the request joined the queue.
	QueuedAt time.Time
	// WaitDeadline is when the request stops waiting.
	WaitDeadline time.Time
	// Ready is closed by the queue's user after it has removed the ticket and
	// set Slot or Peer; neither is set if the request is refused.
	Ready chan struct{}
	// Slot is the slot assigned to the request, if any.
	Slot *Slot
	// Peer is the entry host to forward the request to, if any.
	Peer string
	// FailedForwards counts the peers to which the request was forwarded from
	// the queue without success.
	FailedForwards int

	element *list.Element
}
