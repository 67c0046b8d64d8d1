package check

import "fmt"

const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown"
)

// checkAnswers compares each answer with the request that it belongs to. A
// resent booking may receive the answer to an earlier call with the same key.
func checkAnswers(records []Record, _ Limits) []Violation {
	var found []Violation
	sent := map[string]Record{}
	for _, r := range records {
		if r.Sent != nil {
			sent[r.Sent.Call] = r
		}
		a := r.Answered
		if a == nil || a.Outcome != outcomeAnswered {
			continue
		}
		request, ok := sent[a.Call]
		var problem string
		switch {
		case !ok:
			problem = "was answered but never sent"
		case a.EchoCall != a.Call && !sameBooking(request, sent[a.EchoCall]):
			problem = "received the answer to call " + a.EchoCall
		case a.EchoDigest != request.Sent.Digest:
			problem = "received an answer to a different request body"
		case a.Length != a.WantLength || a.BodyDigest != a.WantDigest:
			problem = fmt.Sprintf("received %d of %d bytes, or different content", a.Length, a.WantLength)
		default:
			continue
		}
		found = append(found, violation(CompleteAnswer, fmt.Sprintf("call %s %s", a.Call, problem), request, r))
	}
	return found
}

// sameBooking reports whether two calls were sent with the same booking key.
func sameBooking(a, b Record) bool {
	return b.Sent != nil && a.Sent.BookingKey != "" && a.Sent.BookingKey == b.Sent.BookingKey
}
