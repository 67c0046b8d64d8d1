package routing

import (
	"testing"
	"time"
)

// TestReturnedTicketKeepsItsTurn checks that a request sent to a peer in vain
// is the next to be served, and is not sent round for ever.
func TestReturnedTicketKeepsItsTurn(t *testing.T) {
	const limit = 2
	now := time.Unix(1000, 0)
	q := NewQueue(10)
	ticket := func() *Ticket {
		return &Ticket{QueuedAt: now, WaitDeadline: now.Add(time.Second), Ready: make(chan struct{})}
	}
	first, second := ticket(), ticket()
	q.Push(first)
	q.Push(second)
	for range limit {
		got := q.PopForward(now, limit)
		if got != first {
			t.Fatal("the first is not sent first")
		}
		got.Peer = "b"
		got.FailedForwards++
		q.Requeue(got)
	}
	if got := q.PopForward(now, limit); got != second {
		t.Fatal("the first is sent to one peer too many")
	}
	if got := q.Pop(now); got != first || got.Peer != "" {
		t.Fatal("the first lost its turn")
	}
}
