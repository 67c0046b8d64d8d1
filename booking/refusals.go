package booking

import (
	"time"

	"github.com/fireflygate/fireflygate/outcome"
)

// Reasons of refusals.
const (
	// ReasonKeyReused: the key was used for another request.
	ReasonKeyReused = "idempotency_key_reused"
	// ReasonStoreUnavailable: the claim could not be made durable.
	ReasonStoreUnavailable = "store_unavailable"
	// ReasonInProgress: the first request under the key has not ended.
	ReasonInProgress = "in_progress"
	// ReasonAnswerLost: the claimant died without recording an outcome.
	ReasonLost = "outcome_lost"
	// ReasonUnreadable: the outcome is recorded but can't be read now.
	ReasonUnreadable = "outcome_unreadable"
)

// retrySoon is when a caller should ask again for an outcome that is on its
// way.
const retrySoon = time.Second

func notRun(reason string, after time.Duration) outcome.Refusal {
	return outcome.Refusal{Kind: outcome.NotRun, Reason: reason, RetryAfter: after}
}

func unknownOutcome(reason string, after time.Duration) outcome.Refusal {
	return outcome.Refusal{Kind: outcome.Unknown, Reason: reason, RetryAfter: after}
}

// whole is the refusal that goes with an answer.
func whole() outcome.Refusal { return outcome.Refusal{Kind: outcome.Answered} }
