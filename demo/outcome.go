package demo

import (
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/infra"
)

// tally is what the workers' records say of jobs.
type tally struct {
	// done is when each job's run ended done.
	done      map[string]time.Time
	evictions int
}

// tallyOf reads the records of workers.
func tallyOf(records []check.Record) tally {
	t := tally{done: map[string]time.Time{}}
	for _, r := range records {
		switch {
		case r.RunEnded == nil:
		case r.RunEnded.State == infra.RunDone:
			t.done[r.RunEnded.Run.Job] = r.At
		case r.RunEnded.State == infra.RunStopped && r.RunEnded.Checkpoint != "":
			t.evictions++
		}
	}
	return t
}

// met reports whether all the jobs were done by the time.
func (t tally) met(jobs map[string]bool, by time.Time) bool {
	for id := range jobs {
		at, ok := t.done[id]
		if !ok || at.After(by) {
			return false
		}
	}
	return len(jobs) > 0
}
