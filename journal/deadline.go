package journal

import (
	"context"
	"time"
)

const (
	// replyMargin is how long before the caller's deadline an unsent entry fails,
	// so that the result reaches the caller in time.
	replyMargin = 150 * time.Millisecond
	// replyMarginDivisor limits the margin to the remaining time divided by it.
	replyMarginDivisor = 4
)

// SendBy returns the latest time to send an entry whose caller waits until the
// deadline of ctx; zero if ctx has no deadline.
func SendBy(ctx context.Context, now time.Time) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return deadline.Add(-min(replyMargin, deadline.Sub(now)/replyMarginDivisor))
}
