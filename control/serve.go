package control

import (
	"context"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/peer"
)

// handle registers the handlers of peers' requests.
func (n *Node) handle() {
	n.server.Handle(methodPing, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var q pingRequest
		if err := decode(&q); err != nil {
			return nil, err
		}
		n.addHost(q.Address)
		n.hearClosedZones(q.ClosedZones, q.Address)
		n.candidates.Observe(election.Candidate{Address: q.Address, Zone: q.Zone, Cores: q.Cores, Life: q.Life}, boottime())
		return n.newPingReply(q.Hosts), nil
	})
	serve(n.server, methodSubmit, n, submitForwarded)
	serve(n.server, methodState, n, func(ctx context.Context, o *Owner, q *jobRequest) reply {
		return o.jobState(ctx, q.ID)
	})
	serve(n.server, methodCancel, n, func(ctx context.Context, o *Owner, q *jobRequest) reply {
		return o.cancel(ctx, q.ID)
	})
	serve(n.server, methodPending, n, func(ctx context.Context, o *Owner, q *pendingRequest) reply {
		return o.pending(ctx, q.Queue)
	})
}

// serve registers a handler that passes requests to the owner, or answers that
// this host isn't the owner.
func serve[Q any](mux peer.Mux, m peer.Method, n *Node, f func(context.Context, *Owner, *Q) reply) {
	mux.Handle(m, func(ctx context.Context, _ string, decode func(any) error) (any, error) {
		q := new(Q)
		if err := decode(q); err != nil {
			return nil, err
		}
		o, _, _ := n.current()
		if o == nil {
			return reply{Result: ResultNotOwner}, nil
		}
		return f(ctx, o, q), nil
	})
}

// newPingReply returns this host's status for a host that knows the given
// number of hosts.
func (n *Node) newPingReply(hosts int) pingReply {
	o, _, _ := n.current()
	r := pingReply{Incarnation: n.opts.Incarnation}
	if o != nil && o.ctx.Err() == nil {
		r.Owner, r.Epoch, r.Version = true, o.epoch, o.committedVersion.Load()
		r.CommitAgeMS = o.commitAge().Milliseconds()
		r.AnswerAgeMS = max(o.committer.AnswerAge().Milliseconds(), 1)
		r.Relays = int(o.relaysPerZone.Load())
		r.Loads = o.toldLoads()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	r.ClosedZones = toldClosedZones(n.closedZones)
	if r.Owner && hosts < len(n.hosts) {
		r.Hosts = slices.Clone(n.hosts)
	}
	return r
}

// submitForwarded submits a job of a caller on another host.
func submitForwarded(ctx context.Context, o *Owner, q *submitRequest) reply {
	return o.submitBefore(ctx, &q.Job, q.Queue, q.deadline(time.Now()))
}
