package tenure

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/peer"
)

// The methods between entry hosts.
const (
	methodPromise peer.Method = "ownership.promise"
	methodStopped peer.Method = "ownership.stopped"
	methodOwned   peer.Method = "ownership.owned"
)

// ownedMessage is the request of methodOwned; the answer is an empty one.
type ownedMessage struct {
	Owned []ownership.OwnerUpdate `msgpack:"o"`
}

// handlePeers registers the handlers.
func (k *Driver) handlePeers() {
	k.cfg.Mux.Handle(methodPromise, func(ctx context.Context, from string, decode func(any) error) (any, error) {
		var req ownership.PromiseRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		if from != req.Owner.Host {
			return nil, errors.Newf("promise asked by %q in the name of %q", from, req.Owner.Host)
		}
		return ask(ctx, k, func(now time.Time, m *ownership.Machine) (ownership.PromiseReply, []ownership.Action) {
			return m.PromiseAsked(now, req)
		})
	})
	k.cfg.Mux.Handle(methodStopped, func(ctx context.Context, _ string, decode func(any) error) (any, error) {
		var req ownership.StoppedRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		return ask(ctx, k, func(now time.Time, m *ownership.Machine) (ownership.StoppedReply, []ownership.Action) {
			return m.StoppedAsked(now, req)
		})
	})
	k.cfg.Mux.Handle(methodOwned, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var told ownedMessage
		if err := decode(&told); err != nil {
			return nil, err
		}
		k.post(func(now time.Time, m *ownership.Machine) []ownership.Action { return m.Notified(now, told.Owned) })
		return ownedMessage{}, nil
	})
}

// ask puts a question to the machine in the control goroutine and waits for
// the reply.
func ask[T any](ctx context.Context, k *Driver, f func(time.Time, *ownership.Machine) (T, []ownership.Action)) (T, error) {
	var none T
	replied := make(chan T, 1)
	in := func(now time.Time, m *ownership.Machine) []ownership.Action {
		reply, actions := f(now, m)
		replied <- reply
		return actions
	}
	select {
	case k.inputs <- in:
	case <-k.stopped:
		return none, ErrStopped
	case <-ctx.Done():
		return none, ctx.Err()
	}
	// Once taken, an input runs to its end.
	return <-replied, nil
}
