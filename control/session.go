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

// runOrders runs queued orders in sequence.
func (s *session) runOrders(ctx context.Context) {
	for {
		select {
		case f := <-s.orders:
			f(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// runPolls sends the polls that the owner's loop requests.
func (o *Owner) runPolls(ctx context.Context, s *session) {
	for {
		select {
		case p := <-s.polls:
			a, rep, rt := o.sendPoll(ctx, p)
			o.post(func() {
				s.polling = false
				o.handlePoll(s, p, a, rep, rt)
			})
		case <-ctx.Done():
			return
		}
	}
}

// sendPoll sends a poll and returns the answer and the report.
func (o *Owner) sendPoll(ctx context.Context, p poll) (a runner.Answer, rep runner.Report, rt flow.RoundTrip) {
	hold := time.Duration(p.renewal.WaitMS) * time.Millisecond
	a, rt = o.traffic.send(ctx, hold, func(ctx context.Context) (a runner.Answer) {
		a, rep = o.relays.Renew(ctx, p.worker, p.renewal)
		return a
	})
	return a, rep, rt
}
