package routing

import (
	"testing"
	"time"
)

// TestRequeuedTicketKeepsPosition checks that a request that a peer failed to
// serve stays first in the queue, and is forwarded a limited number of times.
func TestRequeuedTicketKeepsPosition(t *testing.T) {
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
			t.Fatal("PopForward did not return the first ticket")
		}
		got.Peer = "b"
		got.FailedForwards++
		q.Requeue(got)
	}
	if got := q.PopForward(now, limit); got != second {
		t.Fatal("PopForward returned a ticket that was already forwarded to the limit of peers")
	}
	if got := q.Pop(now); got != first || got.Peer != "" {
		t.Fatal("Pop did not return the requeued ticket first, without its peer")
	}
}
