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
	// strikes is how many orders in a row a relay loses until it is avoided for a
	// while: avoidFor. One may have been lost by the worker.
	strikes  = 3
	avoidFor = time.Second
	// relayUserTimeout gives a connection to a relay up whose bytes stay
	// unacknowledged, longer than any order waits.
	relayUserTimeout = 3 * time.Second
	// maxToldJobs bounds the jobs whose payload a relay is remembered to know.
	maxToldJobs = maxPayloads / 2
)

// relays gives an owner's orders to workers: through the relay that carries a
// worker's orders, or itself where there is none. It implements runner.Client.
type relays struct {
	direct runner.Client
	client *peer.Client
	log    *slog.Logger
	table  atomic.Pointer[relay.Table]
	// orders counts what was given since it was last asked for.
	orders atomic.Int64

	mu    sync.Mutex // guards the field below
	known map[string]*relayState
}

// relayState is what an owner knows of a relay.
type relayState struct {
	// lost counts orders in a row that got no answer from it.
	lost int
	// avoidUntil is until when it carries nothing.
	avoidUntil time.Time
	// told holds the jobs whose payload it was sent.
	told map[string]bool
}

// errNoRelayAnswer means that a relay may have given an order.
var errNoRelayAnswer = errors.New("no answer from the relay")

// newRelays returns the way to the workers of an owner without relays.
func newRelays(opts *Options) *relays {
	r := &relays{
		direct: opts.Workers, log: opts.Log, known: map[string]*relayState{},
		client: peer.NewClient(peer.Options{
			Host: opts.Host, UserTimeout: relayUserTimeout, Handshake: carryHandshake, MaxBackoff: peerMaxBackoff, AnyName: true,
		}, newRand()),
	}
	r.table.Store(relay.NewTable(nil, 0))
	return r
}

// use puts a table in force.
func (r *relays) use(t *relay.Table) {
	before, now := r.table.Swap(t).Addresses(), t.Addresses()
	addresses := map[string]string{}
	for _, a := range now {
		addresses[a] = a
	}
	r.client.SetPeers(addresses)
	r.mu.Lock()
	defer r.mu.Unlock()
	for a := range r.known {
		if addresses[a] == "" {
			delete(r.known, a)
		}
	}
	if len(before) != len(now) {
		event.RelaysChanged.Log(r.log, slog.Int("relays", len(now)), slog.Int("before", len(before)))
	}
}

// close ends the connections to relays.
func (r *relays) close() { r.client.Close() }

// state returns what is known of a relay; r.mu must be held.
func (r *relays) state(address string) *relayState {
	s := r.known[address]
	if s == nil {
		s = &relayState{told: map[string]bool{}}
		r.known[address] = s
	}
	return s
}

// relayOf returns the relay of a worker, empty for none.
func (r *relays) relayOf(w *runner.Worker) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return r.table.Load().RelayFor(w.ID, w.Zone, func(address string) bool { return !now.Before(r.state(address).avoidUntil) })
}

// heard notes whether a relay answered.
func (r *relays) heard(address string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(address)
	if answered {
		s.lost = 0
		return
	}
	if s.lost++; s.lost >= strikes {
		s.lost, s.avoidUntil = 0, time.Now().Add(avoidFor)
		s.told = map[string]bool{} // it may come back as another process
		event.RelayAvoided.Log(r.log, slog.String("relay", address))
	}
}

// tell reports whether a relay was sent a job's payload before, and notes that
// it is now.
func (r *relays) tell(address, job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(address)
	if s.told[job] {
		return true
	}
	if len(s.told) >= maxToldJobs {
		s.told = map[string]bool{}
	}
	s.told[job] = true
	return false
}

// carry gives an order through the worker's relay. False if there is none or it
// wasn't sent: the owner then gives it itself.
func (r *relays) carry(ctx context.Context, w *runner.Worker, q *carryRequest) (*carryReply, bool) {
	r.orders.Add(1)
	address := r.relayOf(w)
	if address == "" {
		return nil, false
	}
	payload := q.Payload
	if q.Kind == carryStart && r.tell(address, q.Task.Job) {
		q.PayloadSum, q.Payload = sumOf(payload), ""
	}
	q.Worker, q.Address = w.ID, w.Address
	rep, sent := r.call(ctx, address, q)
	if rep != nil && rep.NoPayload {
		q.PayloadSum, q.Payload = 0, payload
		rep, sent = r.call(ctx, address, q)
	}
	if !sent {
		return nil, ctx.Err() != nil
	}
	return rep, true
}

// call makes one call of a relay; a nil reply is an unknown outcome.
func (r *relays) call(ctx context.Context, address string, q *carryRequest) (rep *carryReply, sent bool) {
	rep = new(carryReply)
	res := r.client.Call(ctx, address, methodCarry, q, rep)
	// One that reaches the owner but no worker is of no use either.
	r.heard(address, res.Kind == outcome.Answered && (rep.NoPayload || rep.Status != runner.Unknown))
	switch res.Kind {
	case outcome.Answered:
		return rep, true
	case outcome.NotRun:
		return nil, false
	default:
		return nil, true
	}
}

// order gives an order through the relay, or directly.
func (r *relays) order(ctx context.Context, w *runner.Worker, q *carryRequest, direct func() runner.Answer) runner.Answer {
	rep, carried := r.carry(ctx, w, q)
	switch {
	case !carried:
		return direct()
	case rep == nil:
		return runner.Answer{Status: runner.Unknown, Err: errNoRelayAnswer}
	default:
		return rep.answer()
	}
}

// Start implements runner.Client.
func (r *relays) Start(ctx context.Context, w runner.Worker, o runner.Start) runner.Answer {
	return r.order(ctx, &w, &carryRequest{
		Kind: carryStart, Task: nameOf(o.Task), Run: o.Run, Payload: o.Payload, LeaseUntil: o.LeaseUntil, Token: o.Token,
		Checkpoint: o.Checkpoint, Permit: o.Permit,
	}, func() runner.Answer { return r.direct.Start(ctx, w, o) })
}

// Stop implements runner.Client.
func (r *relays) Stop(ctx context.Context, w runner.Worker, o runner.Stop) runner.Answer {
	return r.order(ctx, &w, &carryRequest{Kind: carryStop, Task: nameOf(o.Task), Run: o.Run, Token: o.Token},
		func() runner.Answer { return r.direct.Stop(ctx, w, o) })
}

// Pace implements runner.Client.
func (r *relays) SetCPULimit(ctx context.Context, w runner.Worker, o runner.CPULimit) runner.Answer {
	return r.order(ctx, &w, &carryRequest{Kind: carryPace, Task: nameOf(o.Task), Run: o.Run, Percent: o.Percent, Token: o.Token},
		func() runner.Answer { return r.direct.SetCPULimit(ctx, w, o) })
}

// Renew implements runner.Client.
func (r *relays) Renew(ctx context.Context, w runner.Worker, o runner.Renewal) (runner.Answer, runner.Report) {
	rep, carried := r.carry(ctx, &w, &carryRequest{
		Kind: carryRenewal, Token: o.Token, Acknowledged: o.Acknowledged, LeaseUntil: o.LeaseUntil, WaitMS: o.WaitMS,
	})
	switch {
	case !carried:
		return r.direct.Renew(ctx, w, o)
	case rep == nil:
		return runner.Answer{Status: runner.Unknown, Err: errNoRelayAnswer}, runner.Report{}
	case rep.Status != runner.Done:
		return rep.answer(), runner.Report{}
	default:
		return rep.answer(), rep.report()
	}
}
