package booking

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
)

// replay returns the outcome stored in a row.
func (b *Registry) replay(ctx context.Context, held row) existingOutcome {
	if held.State == unknown || held.Answer == nil {
		return existingOutcome{refusal: unknownOutcome(ReasonLost, 0)}
	}
	response := *held.Answer
	if held.Object != "" {
		body, err := b.opt.Objects.Get(ctx, held.Object)
		if err != nil {
			return existingOutcome{refusal: unknownOutcome(ReasonUnreadable, defaultRetryAfter)}
		}
		response.Body = body
	}
	return existingOutcome{response, answeredRefusal()}
}

// askOrReread returns the outcome of an unfinished claim of another process, or
// reports that the claimant never ran the request. It asks the claimant if that
// may be alive, and otherwise reads the row again. version is that of the claim's row.
func (b *Registry) askOrReread(ctx context.Context, key string, held row, version uint64) (found existingOutcome, neverRan bool) {
	reason, after := ReasonLost, time.Duration(0)
	if b.opt.Alive(held.Host, held.Incarnation, version) {
		reason, after = ReasonInProgress, defaultRetryAfter
		reply, ok := b.askClaimant(ctx, key, held)
		if ok && reply.NeverRan {
			return existingOutcome{}, true
		}
		if ok && reply.Known {
			return existingOutcome{reply.Answer, reply.refusal()}, false
		}
	}
	// The outcome may have been stored since the row was read, even if the
	// claimant has ended.
	rows, err := b.opt.Reader.Get(ctx, key)
	if err != nil {
		return existingOutcome{refusal: unknownOutcome(ReasonUnreadable, defaultRetryAfter)}, false
	}
	if rows[0].Version == 0 {
		return existingOutcome{}, true // the claimant has removed its claim since
	}
	if current, err := decodeRow(rows[0].Value); err == nil && current.ID == held.ID && current.State != claimed {
		return b.replay(ctx, current), false
	}
	return existingOutcome{refusal: unknownOutcome(reason, after)}, false
}

// askClaimant calls the claimant and waits for the outcome. It returns false if
// there is no reply; the claimant may then still be running the request.
func (b *Registry) askClaimant(ctx context.Context, key string, held row) (waitReply, bool) {
	if held.Host == b.opt.Host || b.opt.Peers == nil {
		return waitReply{}, false
	}
	var reply waitReply
	res := b.opt.Peers.Call(ctx, held.Host, MethodWait, waitRequest{Key: key, ID: held.ID}, &reply)
	return reply, res.Kind == outcome.Answered
}
