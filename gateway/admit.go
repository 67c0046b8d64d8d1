package gateway

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/routing"
)

// maxForwards bounds how many peers are asked in one try; all but the last
// said that they had no slot.
const maxForwards = 2

// place is where a request goes: a slot or a peer.
type place struct {
	slot *routing.Slot
	peer string
	// ticket is set when the request waited for the place.
	ticket *routing.Ticket
}

// once makes one try: here, at a peer, or after a wait in the queue.
func (g *Gateway) once(ctx context.Context, req Request) (*Response, outcome.Refusal) {
	var asked []string
	at, refusal := g.admit(ctx, req, asked)
	for {
		if at.slot != nil {
			return g.dispatch(ctx, req, at.slot)
		}
		if at.peer == "" {
			return nil, refusal
		}
		resp, answer := g.forward(ctx, req, at.peer)
		if answer.Reason != ReasonNoSlot && answer.Reason != ReasonPeerUnreachable {
			return resp, answer
		}
		if at.ticket != nil {
			at, refusal = g.waitOn(ctx, req, at.ticket)
			continue
		}
		asked = append(asked, at.peer)
		if len(asked) == maxForwards {
			asked = append(asked, anyPeer)
		}
		at, refusal = g.admit(ctx, req, asked)
	}
}

// waitOn puts a request that waited, and was sent to a peer in vain, back in
// its place in the queue: it was admitted, and keeps its turn.
func (g *Gateway) waitOn(ctx context.Context, req Request, t *routing.Ticket) (place, outcome.Refusal) {
	g.mu.Lock()
	t.FailedForwards++
	q := g.queue(req.Service)
	q.Requeue(t)
	g.serveQueue(time.Now(), req.Service)
	g.mu.Unlock()
	return g.await(ctx, q, t)
}

// anyPeer in the list of peers asked stands for all of them.
const anyPeer = "*"

// admit finds a place for the request, or refuses it.
func (g *Gateway) admit(ctx context.Context, req Request, asked []string) (place, outcome.Refusal) {
	now := time.Now()
	if !now.Before(req.Deadline) {
		return place{}, notRun(ReasonDeadline, soon)
	}
	g.mu.Lock()
	view := g.opt.Ownership.Snapshot()
	q := g.queue(req.Service)
	if q.Len() == 0 || req.forwarded {
		if s := g.pool.Acquire(now, req.Service, view, g.rng); s != nil {
			g.mu.Unlock()
			return place{slot: s}, outcome.Refusal{}
		}
	}
	if req.forwarded {
		g.mu.Unlock()
		return place{}, notRun(ReasonNoSlot, soon)
	}
	if p, ok := g.choosePeer(now, req.Service, asked); ok {
		g.mu.Unlock()
		return place{peer: p}, outcome.Refusal{}
	}
	if g.hopeless(now, req.Service) {
		g.mu.Unlock()
		return place{}, refusedUnserved()
	}
	perSecond, each := g.pool.Rate(now, req.Service, view)
	perSecond, each = q.DrainRate(now, perSecond, each)
	a := q.Admit(now, perSecond, each, req.Deadline.Sub(now))
	if !a.Admitted {
		g.mu.Unlock()
		return place{}, notRun(a.Reason, a.RetryAfter)
	}
	t := &routing.Ticket{QueuedAt: now, WaitDeadline: routing.WaitDeadline(req.Deadline, each), Ready: make(chan struct{})}
	q.Push(t)
	g.serveQueue(now, req.Service)
	g.mu.Unlock()
	return g.await(ctx, q, t)
}

func (g *Gateway) choosePeer(now time.Time, service string, asked []string) (string, bool) {
	if g.opt.Peers == nil || len(asked) > maxForwards {
		return "", false
	}
	return g.peers.Choose(now, service, g.rng, asked)
}

// await waits for the ticket's turn. A request that can no longer be answered
// in time is refused at once.
func (g *Gateway) await(ctx context.Context, q *routing.Queue, t *routing.Ticket) (place, outcome.Refusal) {
	timer := time.NewTimer(time.Until(t.WaitDeadline))
	defer timer.Stop()
	wake := t.Ready
	select {
	case <-wake:
		return given(t)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if q.Remove(t) {
		return place{}, notRun(ReasonDeadline, g.retryAfter(q))
	}
	if ctx.Err() == nil {
		return given(t)
	}
	if t.Slot != nil {
		g.release(t.Slot)
	}
	return place{}, notRun(ReasonDeadline, soon)
}

// given returns the place that a ticket was given, or its refusal.
func given(t *routing.Ticket) (place, outcome.Refusal) {
	if t.Slot == nil && t.Peer == "" {
		return place{}, refusedUnserved()
	}
	return place{t.Slot, t.Peer, t}, outcome.Refusal{}
}

// retryAfter is when the present queue should be done. It needs the lock.
func (g *Gateway) retryAfter(q *routing.Queue) time.Duration {
	return soon + time.Duration(q.Len())*time.Millisecond
}

// serveQueues gives free slots to the requests that wait. It needs the lock.
func (g *Gateway) serveQueues() {
	now := time.Now()
	for service := range g.queues {
		g.serveQueue(now, service)
	}
}

func (g *Gateway) serveQueue(now time.Time, service string) {
	q := g.queue(service)
	view := g.opt.Ownership.Snapshot()
	for q.Len() > 0 {
		s := g.pool.Acquire(now, service, view, g.rng)
		if s == nil {
			break
		}
		t := q.Pop(now)
		if t == nil {
			g.pool.Release(s)
			return
		}
		t.Slot = s
		close(t.Ready)
	}
	g.forwardQueue(now, service, q)
}

// forwardQueue sends waiting requests to peers that have free slots.
func (g *Gateway) forwardQueue(now time.Time, service string, q *routing.Queue) {
	for q.Len() > 0 {
		p, ok := g.choosePeer(now, service, nil)
		if !ok {
			return
		}
		t := q.PopForward(now, maxForwards)
		if t == nil {
			return
		}
		t.Peer = p
		close(t.Ready)
	}
}

// release frees a slot and gives it to the next request. It needs the lock.
func (g *Gateway) release(s *routing.Slot) {
	g.pool.Release(s)
	g.serveQueue(time.Now(), s.Endpoint().Service)
	g.notify()
}
