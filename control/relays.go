package control

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/relay"
	"github.com/fireflygate/fireflygate/runner"
)

const (
	// maxLostOrders is the number of consecutive lost orders after which a relay
	// is avoided for avoidDuration. A single one may have been lost by the worker.
	maxLostOrders = 3
	avoidDuration = time.Second
	// relayUserTimeout is the time after which a connection to a relay with
	// unacknowledged data is closed. It exceeds all order timeouts.
	relayUserTimeout = 3 * time.Second
	// maxSentJobs bounds the jobs per relay that are recorded as sent.
	maxSentJobs = maxPayloads / 2
)

// relays sends an owner's orders to workers, through the worker's relay if
// there is one and directly otherwise. It implements runner.Client.
type relays struct {
	direct runner.Client
	client *peer.Client
	log    *slog.Logger
	table  atomic.Pointer[relay.Table]
	// orders counts the orders since the last summary.
	orders atomic.Int64

	mu sync.Mutex // guards known and detours
	// known holds the state of the relays by address.
	known map[string]*relayState
	// detours chooses other hosts for workers that don't answer.
	detours relay.Detours
}

// route is the path of an order to a worker.
type route struct {
	// via is the address of the host that relays the order, empty for a direct order.
	via string
	// detour is set if the usual path isn't used.
	detour bool
}

// relayState is an owner's knowledge of a relay.
type relayState struct {
	// lost counts consecutive orders without an answer.
	lost int
	// avoidUntil is the time until which the relay isn't used.
	avoidUntil time.Time
	// payloadSent holds the jobs whose payload was sent to the relay.
	payloadSent map[string]bool
}

// errNoRelayAnswer is returned for an order that the relay may have sent.
var errNoRelayAnswer = errors.New("no answer from relay")

// newRelays returns a client that sends all orders directly.
func newRelays(opts *Options) *relays {
	r := &relays{
		direct: opts.Workers, log: opts.Log, known: map[string]*relayState{},
		client: peer.NewClient(peer.Options{
			Host: opts.Host, UserTimeout: relayUserTimeout, HandshakeTimeout: relayHandshakeTimeout, MaxBackoff: peerMaxBackoff, AcceptAnyHost: true,
		}, newRand()),
	}
	r.table.Store(relay.NewTable(nil, 0))
	return r
}

// setTable replaces the relay table. It connects to the new relays and drops the
// state of removed ones.
func (r *relays) setTable(t *relay.Table) {
	previous, current := r.table.Swap(t).Addresses(), t.Addresses()
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := r.connect()
	for a := range r.known {
		if addresses[a] == "" {
			delete(r.known, a)
		}
	}
	if len(previous) != len(current) {
		event.RelaysChanged.Log(r.log, slog.Int("relays", len(current)), slog.Int("before", len(previous)))
	}
}

// connect sets the hosts to be connected to, and returns their addresses; r.mu must be
// held.
func (r *relays) connect() map[string]string {
	addresses := map[string]string{}
	for _, a := range append(r.table.Load().Addresses(), r.detours.Addresses()...) {
		addresses[a] = a
	}
	r.client.SetPeers(addresses)
	return addresses
}

// updateDetours sets the hosts that can carry detours, drops workers for which known
// returns false, and returns the number of workers that need detours.
func (r *relays) updateDetours(hosts []relay.Host, known func(worker string) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detours.SetHosts(hosts)
	r.detours.Forget(known)
	return r.detours.Count()
}

// recordOrder records whether a worker answered an order that took the given path.
func (r *relays) recordOrder(worker string, path route, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case path.detour && !answered:
		r.detours.Lost(worker)
	case path.detour:
	case answered:
		r.detours.AnsweredOnUsualPath(worker)
	case r.detours.LostOnUsualPath(worker, time.Now()):
		r.connect()
	}
}

// close closes the connections to relays.
func (r *relays) close() { r.client.Close() }

// state returns the state of a relay, creating it if needed; r.mu must be held.
func (r *relays) state(address string) *relayState {
	s := r.known[address]
	if s == nil {
		s = &relayState{payloadSent: map[string]bool{}}
		r.known[address] = s
	}
	return s
}

// routeOf returns the path of the next order to a worker.
func (r *relays) routeOf(w *runner.Worker) route {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	usable := func(address string) bool { return !now.Before(r.state(address).avoidUntil) }
	if via := r.detours.HostFor(w.ID, w.Zone, now, usable); via != "" {
		return route{via: via, detour: true}
	}
	return route{via: r.table.Load().RelayFor(w.ID, w.Zone, usable)}
}

// recordAnswer records whether a relay answered an order. After maxLostOrders
// consecutive orders without an answer, the relay is avoided for avoidDuration.
func (r *relays) recordAnswer(address string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(address)
	if answered {
		s.lost = 0
		return
	}
	if s.lost++; s.lost >= maxLostOrders {
		s.lost, s.avoidUntil = 0, time.Now().Add(avoidDuration)
		s.payloadSent = map[string]bool{} // the relay may restart meanwhile
		event.RelayUnresponsive.Log(r.log, slog.String("relay", address))
	}
}

// markPayloadSent records that a job's payload is sent to a relay, and reports
// whether it was sent before.
func (r *relays) markPayloadSent(address, job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(address)
	if s.payloadSent[job] {
		return true
	}
	if len(s.payloadSent) >= maxSentJobs {
		s.payloadSent = map[string]bool{}
	}
	s.payloadSent[job] = true
	return false
}

// relayOrder sends an order through the host of its path. It returns false if the
// caller must send the order directly: no host relays it, or the host
// didn't get the order and ctx hasn't ended. A nil reply with true means that
// the outcome is unknown. relayOrder sets the worker in q, and replaces a
// payload that the relay has cached by its checksum.
func (r *relays) relayOrder(ctx context.Context, w *runner.Worker, path route, q *relayRequest) (*relayReply, bool) {
	r.orders.Add(1)
	address := path.via
	if address == "" {
		return nil, false
	}
	payload := q.Payload
	if q.Kind == relayStart && r.markPayloadSent(address, q.Task.Job) {
		q.PayloadSum, q.Payload = payloadSum(payload), ""
	}
	q.Worker, q.Address = w.ID, w.Address
	rep, sent := r.call(ctx, path, q)
	if rep != nil && rep.NoPayload {
		q.PayloadSum, q.Payload = 0, payload
		rep, sent = r.call(ctx, path, q)
	}
	if !sent {
		if path.detour {
			r.recordOrder(w.ID, path, false)
		}
		return nil, ctx.Err() != nil
	}
	r.recordOrder(w.ID, path, rep != nil && rep.Status != runner.Unknown)
	return rep, true
}

// call makes one call to the host of a path; a nil reply means that the outcome is
// unknown.
func (r *relays) call(ctx context.Context, path route, q *relayRequest) (rep *relayReply, sent bool) {
	answered := new(relayedAnswer)
	res := r.client.Call(ctx, path.via, methodRelay, q, answered)
	rep = &answered.Reply
	rep.incarnation = answered.Incarnation
	// A relay that can't reach workers counts as unresponsive. That a worker on a detour
	// doesn't answer says nothing about the host.
	r.recordAnswer(path.via, res.Kind == outcome.Answered && (path.detour || rep.NoPayload || rep.Status != runner.Unknown))
	switch res.Kind {
	case outcome.Answered:
		return rep, true
	case outcome.NotRun:
		return nil, false
	default:
		return nil, true
	}
}

// sendOrder sends an order through the worker's relay or directly.
func (r *relays) sendOrder(ctx context.Context, w *runner.Worker, q *relayRequest, direct func() runner.Answer) runner.Answer {
	path := r.routeOf(w)
	rep, relayed := r.relayOrder(ctx, w, path, q)
	switch {
	case !relayed:
		a := direct()
		r.recordOrder(w.ID, route{}, a.Status != runner.Unknown)
		return a
	case rep == nil:
		return runner.Answer{Status: runner.Unknown, Err: errNoRelayAnswer}
	default:
		return rep.answer()
	}
}

// Start implements runner.Client.
func (r *relays) Start(ctx context.Context, w runner.Worker, o runner.Start) runner.Answer {
	return r.sendOrder(ctx, &w, &relayRequest{
		Kind: relayStart, Task: newTaskID(o.Task), Run: o.Run, Payload: o.Payload, LeaseUntil: o.LeaseUntil, Token: o.Token,
		Checkpoint: o.Checkpoint, Permit: o.Permit,
	}, func() runner.Answer { return r.direct.Start(ctx, w, o) })
}

// Stop implements runner.Client.
func (r *relays) Stop(ctx context.Context, w runner.Worker, o runner.Stop) runner.Answer {
	return r.sendOrder(ctx, &w, &relayRequest{Kind: relayStop, Task: newTaskID(o.Task), Run: o.Run, Token: o.Token},
		func() runner.Answer { return r.direct.Stop(ctx, w, o) })
}

// SetCPULimit implements runner.Client.
func (r *relays) SetCPULimit(ctx context.Context, w runner.Worker, o runner.CPULimit) runner.Answer {
	return r.sendOrder(ctx, &w, &relayRequest{Kind: relayCPULimit, Task: newTaskID(o.Task), Run: o.Run, Percent: o.Percent, Token: o.Token},
		func() runner.Answer { return r.direct.SetCPULimit(ctx, w, o) })
}

// Renew implements runner.Client.
func (r *relays) Renew(ctx context.Context, w runner.Worker, o runner.Renewal) (runner.Answer, runner.Report) {
	path := r.routeOf(&w)
	rep, relayed := r.relayOrder(ctx, &w, path, &relayRequest{
		Kind: relayRenewal, Token: o.Token, Acknowledged: o.Acknowledged, LeaseUntil: o.LeaseUntil, WaitMS: o.WaitMS,
	})
	switch {
	case !relayed:
		a, rep := r.direct.Renew(ctx, w, o)
		r.recordOrder(w.ID, route{}, a.Status != runner.Unknown)
		return a, rep
	case rep == nil:
		return runner.Answer{Status: runner.Unknown, Err: errNoRelayAnswer}, runner.Report{}
	case rep.Status != runner.Done:
		return rep.answer(), runner.Report{}
	default:
		return rep.answer(), rep.report()
	}
}
