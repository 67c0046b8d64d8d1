package booking

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
)

// replay returns the outcome that a row keeps.
func (b *Registry) replay(ctx context.Context, held row) settled {
	if held.State == unknown || held.Answer == nil {
		return settled{refusal: unknownOutcome(ReasonLost, 0)}
	}
	answer := *held.Answer
	if held.Object != "" {
		body, err := b.opt.Objects.Get(ctx, held.Object)
		if err != nil {
			return settled{refusal: unknownOutcome(ReasonUnreadable, retrySoon)}
		}
		answer.Body = body
	}
	return settled{answer, whole()}
}

// claimedElsewhere returns what is known of a claim without an outcome that
// another process made, or that the claimant never dispatched it.
func (b *Registry) claimedElsewhere(ctx context.Context, key string, held row) (found settled, neverRan bool) {
	reason, after := ReasonLost, time.Duration(0)
	if b.opt.Alive(held.Host, held.Incarnation) {
		reason, after = ReasonInProgress, retrySoon
		reply, ok := b.ask(ctx, key, held)
		if ok && reply.NeverRan {
			return settled{}, true
		}
		if ok && reply.Known {
			return settled{reply.Answer, reply.refusal()}, false
		}
	}
	// The outcome may have been stored since the row was read, also just
	// before the claimant's end.
	rows, err := b.opt.Reader.Get(ctx, key)
	if err != nil {
		return settled{refusal: unknownOutcome(ReasonUnreadable, retrySoon)}, false
	}
	if now, err := decodeRow(rows[0].Value); err == nil && now.ID == held.ID && now.State != claimed {
		return b.replay(ctx, now), false
	}
	return settled{refusal: unknownOutcome(reason, after)}, false
}

// ask waits for the outcome at the claimant. Without an answer the outcome is
// unknown: the claimant may be running the request.
func (b *Registry) ask(ctx context.Context, key string, held row) (waitReply, bool) {
	if held.Host == b.opt.Host || b.opt.Peers == nil {
		return waitReply{}, false
	}
	var reply waitReply
	res := b.opt.Peers.Call(ctx, held.Host, MethodWait, waitRequest{Key: key, ID: held.ID}, &reply)
	return reply, res.Kind == outcome.Answered
}
