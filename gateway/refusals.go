package gateway

import (
	"time"

	"github.com/fireflygate/fireflygate/outcome"
)

// Reasons of refusals.
const (
	// ReasonUnknownService: no endpoint of the service is known.
	ReasonUnknownService = "unknown_service"
	// ReasonStopping: this host accepts no new requests.
	ReasonStopping = "stopping"
	// ReasonDeadline: the deadline passed before the request was dispatched.
	ReasonDeadline = "deadline_before_dispatch"
	// ReasonUnserved: the table is unavailable and no known host can serve the
	// service.
	ReasonUnserved = "nobody_serves"
	// ReasonZonesClosed: all endpoints of the service are in closed availability zones.
	ReasonZonesClosed = "zones_closed"
	// ReasonNoSlot: the peer had no free slot.
	ReasonNoSlot = "no_free_slot"
	// ReasonUnreachable: no byte could be sent to the endpoint.
	ReasonUnreachable = "endpoint_unreachable"
	// ReasonGrantLapsed: the grant expired before the request was written.
	ReasonGrantLapsed = "grant_lapsed"
	// ReasonUnprocessed: the endpoint refused the request without running it.
	ReasonUnprocessed = "refused_by_endpoint"
	// ReasonNoAnswer: the request was sent and no complete answer arrived in
	// time.
	ReasonNoAnswer = "no_answer"
	// ReasonCutOff: the answer was truncated.
	ReasonCutOff = "answer_cut_off"
	// ReasonTooLarge: the answer exceeds calls.max_body.
	ReasonTooLarge = "answer_too_large"
	// ReasonPeerNoAnswer: the request was forwarded to a peer, which did not
	// reply.
	ReasonPeerNoAnswer = "peer_no_answer"
	// ReasonPeerUnreachable: the request could not be sent to the peer.
	ReasonPeerUnreachable = "peer_unreachable"
	// ReasonNoBookings: the request has an idempotency key, which this host
	// doesn't support.
	ReasonNoBookings = "bookings_off"
)

// defaultRetryAfter is the retry time given to callers when there is no better
// estimate.
const defaultRetryAfter = 200 * time.Millisecond

func notRun(reason string, after time.Duration) outcome.Refusal {
	return outcome.Refusal{Kind: outcome.NotRun, Reason: reason, RetryAfter: after}
}

func unknownOutcome(reason string) outcome.Refusal {
	return outcome.Refusal{Kind: outcome.Unknown, Reason: reason}
}

func answered() outcome.Refusal { return outcome.Refusal{Kind: outcome.Answered} }
