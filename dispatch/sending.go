package dispatch

import "sync/atomic"

// Sending tells whether a start order may still be withdrawn. The State withdraws an
// order whose run has lost its reason while the sender, on another goroutine, may be
// about to send it; exactly one of the two succeeds. An order that was never queued
// counts as sent.
type Sending struct {
	state atomic.Uint32
}

// The states of a Sending.
const (
	// maybeSent: the worker may have received the order, or may still receive it.
	maybeSent uint32 = iota
	// queued: the order waits to be sent.
	queued
	// withdrawn: the order must not be sent any more.
	withdrawn
)

// Queue records that the order waits at the sender. The sender calls it before the next
// call of the State.
func (s *Sending) Queue() { s.state.Store(queued) }

// Begin reports whether a queued order may be sent. If it returns true, the order counts
// as sent from then on.
func (s *Sending) Begin() bool { return s.state.CompareAndSwap(queued, maybeSent) }

// withdraw withdraws a queued order. It returns false if the order may have been sent.
func (s *Sending) withdraw() bool { return s.state.CompareAndSwap(queued, withdrawn) }

// GangStart is shared by the start orders of a gang's members, of which all are sent or none:
// members that are started without the others wait for them in vain. The nil GangStart is that
// of a task by itself.
type GangStart struct {
	state atomic.Uint32
}

// The states of a GangStart.
const (
	gangWaiting uint32 = iota
	// gangBegun: a member's start was sent.
	gangBegun
	// gangAbandoned: no member's start may be sent any more.
	gangAbandoned
)

// Begun reports whether a member's start was sent, so that the others have to follow.
func (g *GangStart) Begun() bool { return g != nil && g.state.Load() == gangBegun }

// Begin reports whether a member's start may be sent, and counts it as sent if so.
func (g *GangStart) Begin() bool {
	return g == nil || g.state.CompareAndSwap(gangWaiting, gangBegun) || g.Begun()
}

// Abandon keeps the members' starts from being sent, unless one was.
func (g *GangStart) Abandon() {
	if g != nil {
		g.state.CompareAndSwap(gangWaiting, gangAbandoned)
	}
}
