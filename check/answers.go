package check

import "fmt"

const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown"
)

// checkAnswers matches each answer with its own request. A booking that is
// sent again gets the answer to its first sending, which echoes that one.
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
		ask, ok := sent[a.Call]
		var fault string
		switch {
		case !ok:
			fault = "was never sent"
		case a.EchoCall != a.Call && !sameBooking(ask, sent[a.EchoCall]):
			fault = "got the answer to " + a.EchoCall
		case a.EchoDigest != ask.Sent.Digest:
			fault = "got an answer to another body"
		case a.Length != a.WantLength || a.BodyDigest != a.WantDigest:
			fault = fmt.Sprintf("got %d of %d bytes or other bytes", a.Length, a.WantLength)
		default:
			continue
		}
		found = append(found, violation(CompleteAnswer, fmt.Sprintf("call %s %s", a.Call, fault), ask, r))
	}
	return found
}

// sameBooking reports whether two calls were sent under one booking key.
func sameBooking(a, b Record) bool {
	return b.Sent != nil && a.Sent.BookingKey != "" && a.Sent.BookingKey == b.Sent.BookingKey
}
