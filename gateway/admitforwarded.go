package gateway

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
)

// queueForwarded queues a request that a peer forwarded to this host and that found
// no free slot, if one should become free within the mean service time: peers send
// by information that is a little old, and while the request went back to its host
// and the next one came, the slot would be idle. It returns nil if the request must
// go back at once. g.mu must be held.
func (g *Gateway) queueForwarded(now time.Time, req Request, q *routing.Queue, snapshot *ownership.Snapshot) *routing.Ticket {
	perSecond, serviceTime := g.pool.Rate(now, req.Service, snapshot)
	if perSecond <= 0 || q.Full() {
		return nil
	}
	wait := time.Duration(float64(q.Len()+1) / perSecond * float64(time.Second))
	if wait > serviceTime {
		return nil
	}
	t := routing.NewForwardedTicket(now, req.Deadline, serviceTime)
	q.Push(t)
	return t
}

// waitForwarded waits until the ticket of a forwarded request gets a slot. If it gets
// none, or t is nil, the request goes back to its host.
func (g *Gateway) waitForwarded(ctx context.Context, q *routing.Queue, t *routing.Ticket) (placement, outcome.Refusal) {
	noSlot := notRun(ReasonNoSlot, defaultRetryAfter)
	if t == nil {
		return placement{}, noSlot
	}
	at, refusal := g.waitForPlacement(ctx, q, t)
	if at.slot == nil {
		return placement{}, noSlot
	}
	return at, refusal
}
