package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/task"
)

// Methods between entry hosts.
const (
	methodSubmit peer.Method = "batch.submit"
	methodCancel peer.Method = "batch.cancel"
	methodShow   peer.Method = "batch.show"
	methodOffer  peer.Method = "batch.offer"
	methodMoved  peer.Method = "batch.moved"
)

// submitRequest asks a shard's owner to hold a job.
type submitRequest struct {
	Shard string    `msgpack:"h"`
	Spec  task.Spec `msgpack:"s"`
}

// jobRequest names a job to its shard's owner.
type jobRequest struct {
	Shard string `msgpack:"h"`
	ID    string `msgpack:"i"`
}

// errEnded is returned to a peer whose request ended before its answer.
var errEnded = errors.New("batch: request ended before its answer")

// handle registers the peer methods.
func (m *Manager) handle(mux peer.Mux) {
	mux.Handle(methodSubmit, handler(m.submitHere))
	mux.Handle(methodCancel, handler(m.cancelHere))
	mux.Handle(methodShow, handler(m.showHere))
	mux.Handle(methodOffer, handler(m.offerHere))
	mux.Handle(methodMoved, handler(m.movedHere))
	mux.Handle(methodQuotaWant, handler(m.wantHere))
	mux.Handle(methodQuota, handler(m.quotaHere))
	mux.Handle(methodEventWork, handler(m.eventWorkHere))
}

// handler adapts a local operation to a peer method.
func handler[Q, R any](local func(context.Context, Q) (R, bool)) peer.Handler {
	return func(ctx context.Context, _ string, decode func(any) error) (any, error) {
		var request Q
		if err := decode(&request); err != nil {
			return nil, errors.Wrap(err, "batch: request")
		}
		reply, ok := local(ctx, request)
		if !ok {
			return nil, errEnded
		}
		return reply, nil
	}
}

// call carries out an operation at the owner of the shard, here or on a peer.
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

// await has f run on the control goroutine and waits for its reply; false when
// ctx or the manager ended first.
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

// owner returns the host that owns a shard, as last known; empty for none.
func (m *Manager) owner(shard string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Owners[shard]
}
