package gateway

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/routing"
)

// maxForwards is the largest number of peers that one attempt is forwarded to.
const maxForwards = 2

// placement is where a request is sent: the endpoint of a slot or a peer.
type placement struct {
	slot *routing.Slot
	peer string
	// ticket is set if the request waited in the queue.
	ticket *routing.Ticket
}

// attemptOnce makes one attempt: at an endpoint of this host, at a peer, or
// after a wait in the queue.
func (g *Gateway) attemptOnce(ctx context.Context, req Request) (*Response, outcome.Refusal) {
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
			at, refusal = g.requeue(ctx, req, at.ticket)
			continue
		}
		asked = append(asked, at.peer)
		if len(asked) == maxForwards {
			asked = append(asked, allPeers)
		}
		at, refusal = g.admit(ctx, req, asked)
	}
}

// requeue returns a request to its position in the queue after its forward to
// a peer failed, counts the failure, and waits for another placement.
func (g *Gateway) requeue(ctx context.Context, req Request, t *routing.Ticket) (placement, outcome.Refusal) {
	g.mu.Lock()
	now := time.Now()
	t.ForwardFailed(now)
	q := g.queue(req.Service)
	q.Requeue(t)
	g.serveQueue(now, req.Service)
	g.mu.Unlock()
	return g.waitForPlacement(ctx, q, t)
}

// allPeers in the list of tried peers excludes all peers.
const allPeers = "*"

// admit finds a placement for the request, or refuses it. If no slot or peer is
// free, it waits in the service's queue, up to the ticket's wait deadline. Peers
// in asked are not chosen again before that wait.
func (g *Gateway) admit(ctx context.Context, req Request, asked []string) (placement, outcome.Refusal) {
	now := time.Now()
	if !now.Before(req.Deadline) {
		return placement{}, notRun(ReasonDeadline, defaultRetryAfter)
	}
	g.mu.Lock()
	if g.pool.AllClosed(req.Service) {
		g.mu.Unlock()
		return placement{}, closedRefusal()
	}
	snapshot := g.opt.Ownership.Snapshot()
	q := g.queue(req.Service)
	if q.Len() == 0 || req.forwarded {
		if s := g.pool.Acquire(now, req.Service, snapshot, g.rng); s != nil {
			g.mu.Unlock()
			return placement{slot: s}, outcome.Refusal{}
		}
	}
	if req.forwarded {
		t := g.queueForwarded(now, req, q, snapshot)
		g.mu.Unlock()
		return g.waitForwarded(ctx, q, t)
	}
	if p, ok := g.choosePeer(now, req.Service, asked); ok {
		g.mu.Unlock()
		return placement{peer: p}, outcome.Refusal{}
	}
	if g.refusesUnserved(now, req.Service) {
		g.mu.Unlock()
		return placement{}, unservedRefusal()
	}
	running := g.pauses.RunningTime(now)
	perSecond, each := g.pool.Rate(now, req.Service, snapshot)
	perSecond, each = q.DrainRate(running, perSecond, each)
	a := q.Admit(running, perSecond, each, req.Deadline.Sub(now))
	if !a.Admitted {
		g.mu.Unlock()
		return placement{}, notRun(a.Reason, a.RetryAfter)
	}
	t := routing.NewTicket(now, req.Deadline, each)
	q.Push(t)
	g.serveQueue(now, req.Service)
	g.mu.Unlock()
	return g.waitForPlacement(ctx, q, t)
}

func (g *Gateway) choosePeer(now time.Time, service string, asked []string) (string, bool) {
	if g.opt.Peers == nil || len(asked) > maxForwards {
		return "", false
	}
	return g.peers.Choose(now, service, g.rng, asked)
}

// waitForPlacement waits until the ticket gets a slot or a peer. It refuses
// the request at the ticket's wait deadline or when ctx ends.
func (g *Gateway) waitForPlacement(ctx context.Context, q *routing.Queue, t *routing.Ticket) (placement, outcome.Refusal) {
	timer := time.NewTimer(time.Until(t.WaitDeadline))
	defer timer.Stop()
	wake := t.Ready
	select {
	case <-wake:
		return placementOf(t)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if q.Remove(t) {
		return placement{}, notRun(ReasonDeadline, g.retryAfter(q))
	}
	if ctx.Err() == nil {
		return placementOf(t)
	}
	if t.Slot != nil {
		g.releaseSlot(t.Slot)
	}
	return placement{}, notRun(ReasonDeadline, defaultRetryAfter)
}

// placementOf returns the placement of a ticket that left the queue, or a
// refusal if it has none.
func placementOf(t *routing.Ticket) (placement, outcome.Refusal) {
	if t.Slot == nil && t.Peer == "" {
		return placement{}, unservedRefusal()
	}
	return placement{t.Slot, t.Peer, t}, outcome.Refusal{}
}

// retryAfter estimates when the current queue will be empty. g.mu must be
// held.
func (g *Gateway) retryAfter(q *routing.Queue) time.Duration {
	return defaultRetryAfter + time.Duration(q.Len())*time.Millisecond
}

// serveQueues assigns free slots of this host, and then those of peers, to the
// waiting requests of all services. g.mu must be held.
func (g *Gateway) serveQueues() {
	now := time.Now()
	for service := range g.queues {
		g.serveQueue(now, service)
	}
}

func (g *Gateway) serveQueue(now time.Time, service string) {
	q := g.queue(service)
	snapshot := g.opt.Ownership.Snapshot()
	for q.Len() > 0 {
		s := g.pool.Acquire(now, service, snapshot, g.rng)
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

// forwardQueue assigns waiting requests to peers with free slots. g.mu must be
// held.
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

// releaseSlot frees a slot, assigns it to a waiting request and wakes calls of
// Drain and Stop. g.mu must be held.
func (g *Gateway) releaseSlot(s *routing.Slot) {
	g.pool.Release(s)
	g.serveQueue(time.Now(), s.Endpoint().Service)
	g.notifyWaiters()
}
