package ownerdriver

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/peer"
)

// Peer methods between entry hosts.
const (
	methodPromise peer.Method = "ownership.promise"
	methodStopped peer.Method = "ownership.stopped"
	methodOwned   peer.Method = "ownership.owned"
)

// ownedMessage is the request of methodOwned; the reply is an empty
// ownedMessage.
type ownedMessage struct {
	Owned []ownership.OwnerUpdate `msgpack:"o"`
}

// registerHandlers registers the handlers for calls from other entry hosts.
func (d *Driver) registerHandlers() {
	d.cfg.Mux.Handle(methodPromise, func(ctx context.Context, from string, decode func(any) error) (any, error) {
		var req ownership.PromiseRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		if from != req.Owner.Host {
			return nil, errors.Newf("promise request from host %q names another owner %q", from, req.Owner.Host)
		}
		return query(ctx, d, func(now time.Time, m *ownership.Machine) (ownership.PromiseReply, []ownership.Action) {
			return m.PromiseAsked(now, req)
		})
	})
	d.cfg.Mux.Handle(methodStopped, func(ctx context.Context, _ string, decode func(any) error) (any, error) {
		var req ownership.StoppedRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		return query(ctx, d, func(now time.Time, m *ownership.Machine) (ownership.StoppedReply, []ownership.Action) {
			return m.StoppedAsked(now, req)
		})
	})
	d.cfg.Mux.Handle(methodOwned, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var msg ownedMessage
		if err := decode(&msg); err != nil {
			return nil, err
		}
		d.post(func(now time.Time, m *ownership.Machine) []ownership.Action { return m.Notified(now, msg.Owned) })
		return ownedMessage{}, nil
	})
}

// query calls f with the machine in the control goroutine and returns its
// reply.
func query[T any](ctx context.Context, d *Driver, f func(time.Time, *ownership.Machine) (T, []ownership.Action)) (T, error) {
	var none T
	replied := make(chan T, 1)
	in := func(now time.Time, m *ownership.Machine) []ownership.Action {
		reply, actions := f(now, m)
		replied <- reply
		return actions
	}
	select {
	case d.inputs <- in:
	case <-d.stopped:
		return none, ErrStopped
	case <-ctx.Done():
		return none, ctx.Err()
	}
	// An input that was received always runs to completion.
	return <-replied, nil
}
