package journal

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// Entry is a set of writes that is applied atomically.
type Entry struct {
	// Conditions must all hold for the entry to be applied.
	Conditions []infra.Condition
	// Writes take effect together or not at all.
	Writes []infra.Write
	// Urgent entries are sent before others, unless a queued entry that isn't
	// urgent writes one of the same rows.
	Urgent bool
	// Deadline is when an entry that hasn't been sent fails as not applied; zero
	// for never.
	Deadline time.Time
	// Done is called once with the result and must not block. It runs on the
	// goroutine of Run, or on that of Append if the entry isn't queued.
	Done func(infra.CommitResult)
}

// size bounds what the entry takes in a transaction, in bytes.
func (e *Entry) size() int {
	tx := infra.Transaction{Conditions: e.Conditions, Writes: e.Writes}
	return tx.SentBytes()
}

// rowsNeeded returns the number of the entry's conditions and writes.
func (e *Entry) rowsNeeded() int { return len(e.Conditions) + len(e.Writes) }

// keys returns the keys of the rows that the entry writes.
func (e *Entry) keys() []string {
	var keys []string
	for i := range e.Writes {
		keys = append(keys, e.Writes[i].Key)
	}
	return keys
}

func (e *Entry) expired(now time.Time) bool {
	return !e.Deadline.IsZero() && !now.Before(e.Deadline)
}
