package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/runner"
)

// session exchanges messages with one worker. One goroutine sends orders in
// sequence, another polls for reports; each uses its own connection. While many stops or starts
// wait, extra lanes send them as well.
type session struct {
	id     string
	orders *orderQueue
	// wake holds a value if the goroutine that sends orders has to look at the queue.
	wake chan struct{}
	// extraLanes bounds the extra lanes of all sessions.
	extraLanes chan struct{}
	polls      chan poll
	cancel     context.CancelFunc
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

// startSession starts the goroutines of a session.
func (o *Owner) startSession(id string) *session {
	ctx, cancel := context.WithCancel(o.ctx)
	s := &session{
		id: id, orders: newOrderQueue(), wake: make(chan struct{}, 1), extraLanes: o.extraLanes, polls: make(chan poll, 1), cancel: cancel,
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

// notify makes the session look at its queue of orders.
func (s *session) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runOrders sends queued orders in sequence. Those that are left when the session ends
// run with the ended context, so that each is answered without being sent.
func (s *session) runOrders(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			s.sendQueued(ctx, false)
			return
		}
		s.sendQueued(ctx, false)
	}
}

// sendQueued sends queued orders until none is left for it. An extra lane also ends if the
// worker's answers allow fewer.
func (s *session) sendQueued(ctx context.Context, extra bool) {
	for !extra || (ctx.Err() == nil && !s.orders.surplus()) {
		o, ok := s.orders.take(extra)
		if !ok {
			return
		}
		s.startLanes(ctx)
		begun := time.Now()
		a := o.send(ctx)
		s.orders.observe(a, time.Since(begun))
	}
}

// startLanes starts extra lanes if many stops or starts wait.
func (s *session) startLanes(ctx context.Context) {
	for range s.orders.addLanes() {
		select {
		case s.extraLanes <- struct{}{}:
			go s.runLane(ctx)
		default:
			s.orders.removeLane()
		}
	}
}

// runLane is an extra lane.
func (s *session) runLane(ctx context.Context) {
	s.sendQueued(ctx, true)
	s.orders.removeLane()
	<-s.extraLanes
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
