package routing

import (
	"testing"
	"time"
)

// TestTicketIsForwardedAgain checks that a request whose forwards failed as often as
// the limit allows is forwarded again after forwardRetryDelay. It would wait for this
// host's own slots until its deadline while younger requests are forwarded.
func TestTicketIsForwardedAgain(t *testing.T) {
	const limit = 2
	q := NewQueue(10)
	first := NewTicket(t0, t0.Add(2*time.Second), 0)
	second := NewTicket(t0, t0.Add(2*time.Second), 0)
	q.Push(first)
	q.Push(second)
	for range limit {
		if q.PopForward(t0, limit) != first {
			t.Fatal("PopForward did not return the first ticket")
		}
		first.ForwardFailed(t0)
		q.Requeue(first)
	}
	if got := q.PopForward(t0.Add(forwardRetryDelay-1), limit); got != second {
		t.Fatal("PopForward returned a ticket that had just failed")
	}
	at := t0.Add(forwardRetryDelay)
	for n := range limit {
		if got := q.PopForward(at, limit); got != first {
			t.Fatalf("forward %d after the delay: PopForward did not return the first ticket", n+1)
		}
		first.ForwardFailed(at)
		q.Requeue(first)
	}
	if got := q.PopForward(at, limit); got != nil {
		t.Error("PopForward returned the ticket more often than the limit allows")
	}
}

// TestForwardedTicketStays checks that a request that a peer forwarded is not
// forwarded again, but gets a slot.
func TestForwardedTicketStays(t *testing.T) {
	q := NewQueue(10)
	forwarded := NewForwardedTicket(t0, t0.Add(2*time.Second), 100*time.Millisecond)
	q.Push(forwarded)
	if q.PopForward(t0, 2) != nil {
		t.Error("a forwarded request was forwarded again")
	}
	if q.Pop(t0) != forwarded {
		t.Error("a forwarded request got no slot")
	}
}
