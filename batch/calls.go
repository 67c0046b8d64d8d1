package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/task"
)

// Peer methods between entry hosts.
const (
	methodSubmit peer.Method = "batch.submit"
	methodCancel peer.Method = "batch.cancel"
	methodShow   peer.Method = "batch.show"
	methodOffer  peer.Method = "batch.offer"
	methodMoved  peer.Method = "batch.moved"
)

// submitRequest submits a job to a shard's owner.
type submitRequest struct {
	Shard string    `msgpack:"h"`
	Spec  task.Spec `msgpack:"s"`
}

// jobRequest identifies a job in a shard.
type jobRequest struct {
	Shard string `msgpack:"h"`
	ID    string `msgpack:"i"`
}

// errRequestEnded is returned to a peer if the request's context or the
// manager ended before the reply.
var errRequestEnded = errors.New("batch: request ended before its answer")

// registerHandlers registers the peer methods.
func (m *Manager) registerHandlers(mux peer.Mux) {
	mux.Handle(methodSubmit, handler(m.submitLocal))
	mux.Handle(methodCancel, handler(m.cancelLocal))
	mux.Handle(methodShow, handler(m.showLocal))
	mux.Handle(methodOffer, handler(m.offerLocal))
	mux.Handle(methodMoved, handler(m.movedLocal))
	mux.Handle(methodQuotaWant, handler(m.quotaWantLocal))
	mux.Handle(methodQuota, handler(m.quotaLocal))
	mux.Handle(methodEventWork, handler(m.eventWorkLocal))
}

// handler adapts a local operation to a peer method.
func handler[Q, R any](local func(context.Context, Q) (R, bool)) peer.Handler {
	return func(ctx context.Context, _ string, decode func(any) error) (any, error) {
		var request Q
		if err := decode(&request); err != nil {
			return nil, errors.Wrap(err, "batch: decode request")
		}
		reply, ok := local(ctx, request)
		if !ok {
			return nil, errRequestEnded
		}
		return reply, nil
	}
}

// call runs an operation at the owner of the shard, locally or on a peer. The
// kind is NotRun if the shard has no known owner.
func call[R any](ctx context.Context, m *Manager, shard string, method peer.Method, request any, local func(context.Context) (R, bool)) (R, outcome.Kind) {
	var reply R
	owner := m.owner(shard)
	if owner == "" {
		return reply, outcome.NotRun
	}
	if owner != m.config.Host {
		result := m.config.Transport.Call(ctx, owner, method, request, &reply)
		return reply, result.Kind
	}
	reply, ok := local(ctx)
	if !ok {
		return reply, outcome.Unknown
	}
	return reply, outcome.Answered
}

// await runs f on the control goroutine and waits for its reply; false if ctx
// or the manager ended first.
func await[R any](ctx context.Context, m *Manager, f func(now time.Time, reply func(R))) (R, bool) {
	result := make(chan R, 1)
	m.post(func(now time.Time) { f(now, func(r R) { result <- r }) })
	var none R
	select {
	case r := <-result:
		return r, true
	case <-ctx.Done():
		return none, false
	case <-m.stopped:
		return none, false
	}
}

// owner returns the last known owner of a shard; empty for none.
func (m *Manager) owner(shard string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot.Owners[shard]
}
