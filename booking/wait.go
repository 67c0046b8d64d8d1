package booking

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// MethodWait requests the outcome of a claim from its claimant.
const MethodWait peer.Method = "booking.wait"

// waitRequest identifies a claim.
type waitRequest struct {
	Key string `msgpack:"k"`
	ID  string `msgpack:"i"`
}

// waitReply is the outcome of a claim, if it is known.
type waitReply struct {
	Known bool `msgpack:"y"`
	// NeverRan is set if the claim's request did not run and will not run. The
	// claim's row may be removed.
	NeverRan bool         `msgpack:"n,omitempty"`
	Kind     outcome.Kind `msgpack:"o"`
	Reason   string       `msgpack:"r,omitempty"`
	RetryMS  int64        `msgpack:"m,omitempty"`
	Answer   Response     `msgpack:"a"`
}

func (r waitReply) refusal() outcome.Refusal {
	after := time.Duration(r.RetryMS) * time.Millisecond
	return outcome.Refusal{Kind: r.Kind, Reason: r.Reason, RetryAfter: after}
}

// Register registers the handlers for calls from other entry hosts.
func (b *Registry) Register(mux peer.Mux) {
	mux.Handle(MethodWait, b.handleWait)
}

// handleWait replies once the claim's outcome is known or the context ends.
func (b *Registry) handleWait(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var req waitRequest
	if err := decode(&req); err != nil {
		return nil, err
	}
	b.mu.Lock()
	f := b.flights[req.Key]
	_, neverRan := b.undispatched[req.ID]
	b.mu.Unlock()
	if f == nil || f.id != req.ID {
		return waitReply{NeverRan: neverRan}, nil
	}
	select {
	case <-f.done:
	case <-ctx.Done():
		return waitReply{}, nil
	}
	return waitReply{
		Known:   true,
		Kind:    f.refusal.Kind,
		Reason:  f.refusal.Reason,
		RetryMS: f.refusal.RetryAfter.Milliseconds(),
		Answer:  f.response,
	}, nil
}
