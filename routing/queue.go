package routing

import (
	"container/list"
	"time"
)

// Queue holds the requests of one service that wait for a slot, in order of
// arrival.
type Queue struct {
	limit   int
	tickets list.List
	standingQueue
	// peers measures the requests served by peers.
	peers peerRate
}

// NewQueue returns a queue of up to limit tickets.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit}
}

// SetLimit changes how many tickets may wait. Tickets above a lower limit are
// kept.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Resume records that the process continues after a pause, whose backlog must not
// count as a standing queue. now is on the clock of Admit.
func (q *Queue) Resume(now time.Time, paused time.Duration) { q.resume(now, paused) }

// ObservePeer records that a peer served a request of the queue's service in
// the given time. now is on the clock of Admit.
func (q *Queue) ObservePeer(now time.Time, took time.Duration) { q.peers.observe(now, took) }

// DrainRate returns how many requests leave the queue per second and the mean
// time that one takes, given the rate and the mean time of this host's own
// slots. It adds the requests served by peers, so that a host whose few
// endpoints hang does not refuse what its peers can serve. If perSecond is 0,
// the rate stays unknown. now is on the clock of Admit.
func (q *Queue) DrainRate(now time.Time, perSecond float64, serviceTime time.Duration) (float64, time.Duration) {
	elsewhere := q.peers.rate(now)
	if perSecond <= 0 || elsewhere <= 0 {
		return perSecond, serviceTime
	}
	both := perSecond + elsewhere
	mean := (perSecond*serviceTime.Seconds() + elsewhere*q.peers.serviceTime) / both
	return both, time.Duration(mean * float64(time.Second))
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return q.tickets.Len() }

// Full reports whether the queue is at its limit.
func (q *Queue) Full() bool { return q.tickets.Len() >= q.limit }

// Push adds a ticket at the end.
func (q *Queue) Push(t *Ticket) {
	t.element = q.tickets.PushBack(t)
}

// Requeue puts a popped ticket back at the front, after the slot or peer
// assigned to it failed.
func (q *Queue) Requeue(t *Ticket) {
	t.Slot, t.Peer = nil, ""
	t.Ready = make(chan struct{})
	t.element = q.tickets.PushFront(t)
}

// Remove removes a ticket and reports whether it was still in the queue.
func (q *Queue) Remove(t *Ticket) bool {
	if t.element == nil {
		return false
	}
	q.tickets.Remove(t.element)
	t.element = nil
	return true
}

// PopAny removes the oldest ticket, even if its wait deadline has passed. It
// returns nil if the queue is empty.
func (q *Queue) PopAny() *Ticket {
	e := q.tickets.Front()
	if e == nil {
		return nil
	}
	t := e.Value.(*Ticket)
	q.Remove(t)
	return t
}

// Pop removes the oldest ticket whose wait deadline has not passed, or returns
// nil. The request's own timer removes an expired ticket.
func (q *Queue) Pop(now time.Time) *Ticket {
	return q.pop(now, func(*Ticket) bool { return true })
}

// PopForward is like Pop, but skips tickets that may not be forwarded: those that
// peers forwarded to this host, and for forwardRetryDelay those that were forwarded
// to limit peers without success.
func (q *Queue) PopForward(now time.Time, limit int) *Ticket {
	t := q.pop(now, func(t *Ticket) bool { return t.mayForward(now, limit) })
	if t != nil && t.FailedForwards >= limit {
		t.FailedForwards = 0
	}
	return t
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
