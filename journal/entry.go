package journal

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// Entry is one change, applied whole or not at all.
type Entry struct {
	// Conditions must all hold.
	Conditions []infra.Condition
	// Writes all take effect, or none.
	Writes []infra.Write
	// Urgent entries go before others, unless an earlier entry that waits
	// touches one of the same rows.
	Urgent bool
	// Deadline is when the entry fails as not applied if it has not been
	// sent; zero for never.
	Deadline time.Time
	// Done takes the result, on the journal's goroutine; it must not block.
	Done func(infra.CommitResult)
}

// size returns the bytes that the entry writes.
func (e *Entry) size() int {
	n := 0
	for _, w := range e.Writes {
		n += len(w.Key) + len(w.Value)
	}
	return n
}

// expired reports whether the deadline has passed.
func (e *Entry) expired(now time.Time) bool {
	return !e.Deadline.IsZero() && !now.Before(e.Deadline)
}
