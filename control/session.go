package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/runner"
)

// session exchanges messages with one worker. One goroutine sends orders in
// sequence, another polls for reports; each uses its own connection.
type session struct {
	id     string
	orders chan func(context.Context)
	polls  chan poll
	cancel context.CancelFunc
	// token is the newest fencing token; starts with an older one aren't sent.
	token atomic.Uint64
	// acknowledged is the last acknowledgment that was logged. It is confined to the
	// owner's loop.
	acknowledged acknowledgment
	// awaitingLate is set while a poll is in progress whose answer is also used if it
	// comes late. There is one at a time, which bounds the connections to a worker that
	// doesn't answer.
	awaitingLate atomic.Bool
	// polling is set while a poll is in flight. It and nextPoll are confined to
	// the owner's loop.
	polling  bool
	nextPoll time.Time
}

// poll is a request for a worker's report, which renews its lease.
type poll struct {
	worker  runner.Worker
	renewal runner.Renewal
}

// maxQueuedOrders bounds the orders queued for one worker.
const maxQueuedOrders = 256

// startSession starts the goroutines of a session.
func (o *Owner) startSession(id string) *session {
	ctx, cancel := context.WithCancel(o.ctx)
	s := &session{
		id: id, orders: make(chan func(context.Context), maxQueuedOrders), polls: make(chan poll, 1), cancel: cancel,
	}
	go s.runOrders(ctx)
	go o.runPolls(ctx, s)
	return s
}

// raiseToken records the token of an order that is queued, unless a later one is known.
func (s *session) raiseToken(token uint64) {
	if token > s.token.Load() {
		s.token.Store(token)
	}
}

// runOrders runs queued orders in sequence. Those that are left when the session ends
// run with the ended context, so that each is answered without being sent.
func (s *session) runOrders(ctx context.Context) {
	for {
		select {
		case f := <-s.orders:
			f(ctx)
		case <-ctx.Done():
			s.abandonOrders(ctx)
			return
		}
	}
}

// abandonOrders runs the orders left in the queue. Nothing queues orders for an ended
// session.
func (s *session) abandonOrders(ended context.Context) {
	for {
		select {
		case f := <-s.orders:
			f(ended)
		default:
			return
		}
	}
}

// runPolls sends the polls that the owner's loop requests.
func (o *Owner) runPolls(ctx context.Context, s *session) {
	for {
		select {
		case p := <-s.polls:
			a, rt := o.sendPoll(ctx, s, p)
			o.post(func() {
				s.polling = false
				o.handlePoll(s, p, a, rt)
			})
		case <-ctx.Done():
			return
		}
	}
}

// sendPoll sends a poll and returns the answer. An answer that comes too late is
// passed to handleLatePoll.
func (o *Owner) sendPoll(ctx context.Context, s *session, p poll) (pollAnswer, flow.RoundTrip) {
	hold := time.Duration(p.renewal.WaitMS) * time.Millisecond
	// The failure of a relay must be noticed soon, so its orders end in time.
	if o.relays.routeOf(&p.worker).via != "" || !s.awaitingLate.CompareAndSwap(false, true) {
		var rep runner.Report
		a, rt := o.traffic.send(ctx, hold, func(ctx context.Context) (a runner.Answer) {
			a, rep = o.relays.Renew(ctx, p.worker, p.renewal)
			return a
		})
		return pollAnswer{a, rep}, rt
	}
	a, rt := sendAwaitingLate(ctx, o.traffic.orderTimeout()+hold, func(ctx context.Context) pollAnswer {
		a, rep := o.relays.Renew(ctx, p.worker, p.renewal)
		return pollAnswer{a, rep}
	}, func(a pollAnswer, late bool) {
		s.awaitingLate.Store(false)
		if late {
			o.post(func() { o.handleLatePoll(s, p, a) })
		}
	})
	if a.answer.Status == runner.Unknown && ctx.Err() == nil { // the session hasn't ended
		o.relays.recordOrder(p.worker.ID, route{}, false)
	}
	return a, rt
}
