package booking

import (
	"context"

	"github.com/fireflygate/fireflygate/outcome"
)

// replay returns the outcome that a row keeps.
func (b *Book) replay(ctx context.Context, held row) settled {
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
// another process made.
func (b *Book) claimedElsewhere(ctx context.Context, key string, held row) settled {
	if b.opt.Alive(held.Host, held.Incarnation) {
		return b.ask(ctx, key, held)
	}
	// The claimant may have stored the outcome just before its end.
	rows, err := b.opt.Reader.Get(ctx, key)
	if err != nil {
		return settled{refusal: unknownOutcome(ReasonUnreadable, retrySoon)}
	}
	if now, err := decodeRow(rows[0].Value); err == nil && rows[0].Version != 0 && now.State != claimed {
		return b.replay(ctx, now)
	}
	return settled{refusal: unknownOutcome(ReasonLost, 0)}
}

// ask waits for the outcome at the claimant. Whatever keeps it from coming
// leaves the outcome unknown: the claimant may be running the request.
func (b *Book) ask(ctx context.Context, key string, held row) settled {
	pending := settled{refusal: unknownOutcome(ReasonInProgress, retrySoon)}
	if held.Host == b.opt.Host || b.opt.Peers == nil {
		return pending
	}
	var reply waitReply
	res := b.opt.Peers.Call(ctx, held.Host, MethodWait, waitRequest{Key: key, ID: held.ID}, &reply)
	if res.Kind != outcome.Answered || !reply.Known {
		return pending
	}
	return settled{reply.Answer, reply.refusal()}
}
