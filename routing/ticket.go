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
	// the queue without success, since its last pause of forwardRetryDelay.
	FailedForwards int
	// Forwarded is set if a peer forwarded the request to this host; it must not
	// be forwarded again.
	Forwarded bool

	element *list.Element
	// forwardFailedAt is when a peer last failed to serve the request.
	forwardFailedAt time.Time
}

// maxForwardedWait limits the wait of a forwarded request, in multiples of the mean
// service time. Its host can still place it elsewhere after that.
const maxForwardedWait = 2

// NewTicket returns a ticket for a request of a caller. serviceTime is the mean time
// that one request takes; 0 if unknown.
func NewTicket(now, deadline time.Time, serviceTime time.Duration) *Ticket {
	return &Ticket{QueuedAt: now, WaitDeadline: WaitDeadline(deadline, serviceTime), Ready: make(chan struct{})}
}

// NewForwardedTicket returns a ticket for a request that a peer forwarded.
func NewForwardedTicket(now, deadline time.Time, serviceTime time.Duration) *Ticket {
	t := NewTicket(now, deadline, serviceTime)
	t.Forwarded = true
	if limit := now.Add(maxForwardedWait * serviceTime); limit.Before(t.WaitDeadline) {
		t.WaitDeadline = limit
	}
	return t
}

// forwardRetryDelay is how long a request isn't forwarded after it was forwarded to
// the limit of peers without success. It exceeds the interval between two digests, so
// that the next forward follows newer information.
const forwardRetryDelay = 100 * time.Millisecond

// ForwardFailed records that a peer did not serve the request.
func (t *Ticket) ForwardFailed(now time.Time) {
	t.FailedForwards++
	t.forwardFailedAt = now
}

// mayForward reports whether the request may be forwarded now.
func (t *Ticket) mayForward(now time.Time, limit int) bool {
	if t.Forwarded {
		return false
	}
	waited := !t.forwardFailedAt.IsZero() && now.Sub(t.forwardFailedAt) >= forwardRetryDelay
	return t.FailedForwards < limit || waited
}
