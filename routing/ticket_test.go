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
	first := &Ticket{QueuedAt: t0, WaitDeadline: t0.Add(2 * time.Second)}
	second := &Ticket{QueuedAt: t0, WaitDeadline: t0.Add(2 * time.Second)}
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
