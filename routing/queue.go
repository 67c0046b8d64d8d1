package routing

import (
	"container/list"
	"time"
)

// Queue holds the requests of one service that wait for a slot. It serves the
// oldest first while it is short, and the newest first under overload: then
// the oldest are the likeliest to miss their deadline whatever is done, and
// serving them first would make every request late.
type Queue struct {
	limit   int
	tickets list.List
}

// overloadPart is the part of the time that its request was willing to wait
// which the oldest ticket must have waited for the queue to be overloaded.
const overloadPart = 0.5

// NewQueue returns a queue that holds up to limit tickets.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit}
}

// Len returns how many tickets wait.
func (q *Queue) Len() int { return q.tickets.Len() }

// Full reports whether another ticket is one too many.
func (q *Queue) Full() bool { return q.tickets.Len() >= q.limit }

// Push adds a ticket.
func (q *Queue) Push(t *Ticket) {
	t.element = q.tickets.PushBack(t)
}

// Remove takes a ticket out and reports whether it was still there.
func (q *Queue) Remove(t *Ticket) bool {
	if t.element == nil {
		return false
	}
	q.tickets.Remove(t.element)
	t.element = nil
	return true
}

// Pop takes out the ticket that is to be served next, or returns nil. Tickets
// that have given up are left to their own timers.
func (q *Queue) Pop(now time.Time) *Ticket {
	if q.overloaded(now) {
		return q.first(now, q.tickets.Back(), (*list.Element).Prev)
	}
	return q.first(now, q.tickets.Front(), (*list.Element).Next)
}

func (q *Queue) first(now time.Time, e *list.Element, next func(*list.Element) *list.Element) *Ticket {
	for ; e != nil; e = next(e) {
		t := e.Value.(*Ticket)
		if now.Before(t.GiveUp) {
			q.Remove(t)
			return t
		}
	}
	return nil
}

func (q *Queue) overloaded(now time.Time) bool {
	front := q.tickets.Front()
	if front == nil {
		return false
	}
	t := front.Value.(*Ticket)
	return now.Sub(t.Since).Seconds() > overloadPart*t.GiveUp.Sub(t.Since).Seconds()
}
