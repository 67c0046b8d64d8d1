package journal

import (
	"context"
	"time"
)

const (
	// answerMargin is how long before a caller's deadline an entry that was not
	// sent is given up, so that the caller still learns that it was not.
	answerMargin = 150 * time.Millisecond
	// answerShare bounds the margin to this part of the time that is left.
	answerShare = 4
)

// SendBy returns the deadline of an entry for a caller who waits under ctx;
// zero if the context has none.
func SendBy(ctx context.Context, now time.Time) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return deadline.Add(-min(answerMargin, deadline.Sub(now)/answerShare))
}
