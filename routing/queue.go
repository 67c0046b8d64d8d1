package routing

import (
	"container/list"
	"time"
)

// Queue holds the requests of one service that wait for a slot, oldest first.
type Queue struct {
	limit   int
	tickets list.List
	// longSince is since when the queue is long with short breaks only, and
	// longLast when it was last long.
	longSince, longLast time.Time
	// peers is what is served elsewhere.
	peers relay
}

// NewQueue returns a queue that holds up to limit tickets.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit}
}

// SetLimit changes how many tickets may wait. Those that wait already stay.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// ObservePeer takes in that a peer served a request of the queue's service, and how
// long that took.
func (q *Queue) ObservePeer(now time.Time, took time.Duration) { q.peers.served(now, took) }

// DrainRate returns how many requests leave the queue per second and how long
// one takes, where this host's slots serve perSecond that take each: peers
// serve some too. Without them a host whose few endpoints hang would refuse
// what its peers could answer. A host without slots has no rate of its own.
func (q *Queue) DrainRate(now time.Time, perSecond float64, each time.Duration) (float64, time.Duration) {
	elsewhere := q.peers.rate(now)
	if perSecond <= 0 || elsewhere <= 0 {
		return perSecond, each
	}
	both := perSecond + elsewhere
	mean := (perSecond*each.Seconds() + elsewhere*q.peers.each) / both
	return both, time.Duration(mean * float64(time.Second))
}

// Len returns how many tickets wait.
func (q *Queue) Len() int { return q.tickets.Len() }

// Full reports whether another ticket is one too many.
func (q *Queue) Full() bool { return q.tickets.Len() >= q.limit }

// Push adds a ticket.
func (q *Queue) Push(t *Ticket) {
	t.element = q.tickets.PushBack(t)
}

// Requeue puts a popped ticket back in its place, the first, since what it was
// given came to nothing.
func (q *Queue) Requeue(t *Ticket) {
	t.Slot, t.Peer = nil, ""
	t.Ready = make(chan struct{})
	t.element = q.tickets.PushFront(t)
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

// PopAny takes out the oldest ticket whatever its time, or returns nil.
func (q *Queue) PopAny() *Ticket {
	e := q.tickets.Front()
	if e == nil {
		return nil
	}
	t := e.Value.(*Ticket)
	q.Remove(t)
	return t
}

// Pop takes out the oldest ticket, or returns nil. Tickets that have given up
// are left to their own timers.
func (q *Queue) Pop(now time.Time) *Ticket {
	return q.pop(now, func(*Ticket) bool { return true })
}

// PopForward takes out the oldest ticket that was sent to fewer than limit
// peers in vain, or returns nil.
func (q *Queue) PopForward(now time.Time, limit int) *Ticket {
	return q.pop(now, func(t *Ticket) bool { return t.FailedForwards < limit })
}

func (q *Queue) pop(now time.Time, fits func(*Ticket) bool) *Ticket {
	for e := q.tickets.Front(); e != nil; e = e.Next() {
		t := e.Value.(*Ticket)
		if now.Before(t.WaitDeadline) && fits(t) {
			q.Remove(t)
			return t
		}
	}
	return nil
}
