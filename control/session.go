package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/runner"
)

// session talks to one worker: one goroutine gives orders one after another,
// one renews leases and waits for ends. Each keeps one connection.
type session struct {
	id     string
	orders chan func(context.Context)
	looks  chan look
	cancel context.CancelFunc
	// token is the newest fencing token; orders with an older one aren't sent.
	token atomic.Uint64
	// looking is set while a look is under way; only the owner's loop uses it
	// and nextLook.
	looking  bool
	nextLook time.Time
}

// look is one renewal to make.
type look struct {
	worker  runner.Worker
	renewal runner.Renewal
}

// maxQueuedOrders bounds the orders that wait for one worker.
const maxQueuedOrders = 256

// startSession starts the goroutines of a session.
func (o *Owner) startSession(id string) *session {
	ctx, cancel := context.WithCancel(o.ctx)
	s := &session{
		id: id, orders: make(chan func(context.Context), maxQueuedOrders), looks: make(chan look, 1), cancel: cancel,
	}
	go s.giveOrders(ctx)
	go o.renewLeases(ctx, s)
	return s
}

// giveOrders runs the orders in turn.
func (s *session) giveOrders(ctx context.Context) {
	for {
		select {
		case f := <-s.orders:
			f(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// renewLeases makes the looks that the owner's loop asks for.
func (o *Owner) renewLeases(ctx context.Context, s *session) {
	for {
		select {
		case l := <-s.looks:
			a, rep, way := o.renew(ctx, l)
			o.post(func() {
				s.looking = false
				o.looked(s, l, a, rep, way)
			})
		case <-ctx.Done():
			return
		}
	}
}

// renew makes one look.
func (o *Owner) renew(ctx context.Context, l look) (a runner.Answer, rep runner.Report, way flow.RoundTrip) {
	held := time.Duration(l.renewal.WaitMS) * time.Millisecond
	a, way = o.traffic.send(ctx, held, func(ctx context.Context) (a runner.Answer) {
		a, rep = o.relays.Renew(ctx, l.worker, l.renewal)
		return a
	})
	return a, rep, way
}
