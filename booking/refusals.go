package booking

import (
	"time"

	"github.com/fireflygate/fireflygate/outcome"
)

// Reasons for refusing a request.
const (
	// ReasonKeyReused: the key was used for a different request.
	ReasonKeyReused = "idempotency_key_reused"
	// ReasonStoreUnavailable: the claim could not be made durable.
	ReasonStoreUnavailable = "store_unavailable"
	// ReasonInProgress: the first request with the key has not finished.
	ReasonInProgress = "in_progress"
	// ReasonLost: the claimant ended without storing an outcome.
	ReasonLost = "outcome_lost"
	// ReasonUnreadable: the outcome is stored but cannot be read now.
	ReasonUnreadable = "outcome_unreadable"
)

// defaultRetryAfter is the retry delay returned when the outcome may be
// available soon.
const defaultRetryAfter = time.Second

func notRun(reason string, after time.Duration) outcome.Refusal {
	return outcome.Refusal{Kind: outcome.NotRun, Reason: reason, RetryAfter: after}
}

func unknownOutcome(reason string, after time.Duration) outcome.Refusal {
	return outcome.Refusal{Kind: outcome.Unknown, Reason: reason, RetryAfter: after}
}

// answeredRefusal returns the refusal that accompanies a complete response.
func answeredRefusal() outcome.Refusal { return outcome.Refusal{Kind: outcome.Answered} }
