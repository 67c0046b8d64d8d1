package integration

import (
	"fmt"

	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/outcome"
)

// OutcomeCounts holds the number of exchanges by outcome.
type OutcomeCounts struct {
	Answered, NotRun, Unknown int
	// Reasons counts the exchanges without an answer by outcome and reason.
	Reasons map[string]int
}

// CountOutcomes counts the outcomes of the exchanges that match.
func CountOutcomes(exchanges []load.Exchange, match func(load.Exchange) bool) OutcomeCounts {
	t := OutcomeCounts{Reasons: map[string]int{}}
	for _, x := range exchanges {
		if !match(x) {
			continue
		}
		switch x.Outcome {
		case outcome.Answered:
			t.Answered++
			continue
		case outcome.NotRun:
			t.NotRun++
		default:
			t.Unknown++
		}
		t.Reasons[x.Outcome.String()+": "+x.Reason]++
	}
	return t
}

// AnsweredShare returns the share of exchanges that were answered, from 0 to 1. It
// returns 0 if there are none.
func (t OutcomeCounts) AnsweredShare() float64 {
	return float64(t.Answered) / float64(max(1, t.Answered+t.NotRun+t.Unknown))
}

// String returns the counts on one line for test logs.
func (t OutcomeCounts) String() string {
	return fmt.Sprintf("answered %d, not run %d, unknown %d, share %.4f, %v", t.Answered, t.NotRun, t.Unknown, t.AnsweredShare(), t.Reasons)
}
