package election

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// Effort is what a commit took. Attempts that are neither answered nor refused may
// still be executed by the table service, and delay those that come after them.
type Effort struct {
	// Attempts counts the transactions sent, Answered those that were applied or
	// conflicted, and Refused those that the table service refused.
	Attempts, Answered, Refused int
	// Took is the time from the first attempt to the end of the commit.
	Took time.Duration
}

// count counts the result of an attempt.
func (e *Effort) count(s infra.CommitStatus) {
	switch s {
	case infra.CommitApplied, infra.CommitConflict:
		e.Answered++
	case infra.CommitNotApplied, infra.CommitRejected:
		e.Refused++
	case infra.CommitUnknown:
	}
}
