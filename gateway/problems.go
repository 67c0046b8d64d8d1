package gateway

import (
	"github.com/fireflygate/fireflygate/booking"
	"github.com/fireflygate/fireflygate/gen/calls"
	"github.com/fireflygate/fireflygate/outcome"
)

// Names of the problems in the API design.
const (
	problemBadRequest  = "bad_request"
	problemNotFound    = "not_found"
	problemConflict    = "conflict"
	problemUnavailable = "unavailable"
	problemUnknown     = "unknown_outcome"
)

func badRequest(title string) *calls.Problem {
	return &calls.Problem{Name: problemBadRequest, Title: title, Outcome: outcome.NotRun.String()}
}

// newProblem returns the response body for a refusal.
func newProblem(r outcome.Refusal) *calls.Problem {
	after := r.RetryAfter.Milliseconds()
	return &calls.Problem{
		Name:         problemName(r),
		Title:        r.Reason,
		Outcome:      r.Kind.String(),
		RetryAfterMs: &after,
	}
}

func problemName(r outcome.Refusal) string {
	switch {
	case r.Kind != outcome.NotRun:
		return problemUnknown
	case r.Reason == ReasonUnknownService:
		return problemNotFound
	case r.Reason == booking.ReasonKeyReused:
		return problemConflict
	case r.Reason == ReasonNoBookings:
		return problemBadRequest
	default:
		return problemUnavailable
	}
}
