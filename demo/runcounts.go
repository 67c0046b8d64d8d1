package demo

import (
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/infra"
)

// runCounts summarizes the workers' records of runs.
type runCounts struct {
	// done is the time at which each finished job ended.
	done map[string]time.Time
	// evictions is the number of runs that were stopped with a checkpoint.
	evictions int
}

// countRuns returns the counts for a history.
func countRuns(records []check.Record) runCounts {
	t := runCounts{done: map[string]time.Time{}}
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

// met reports whether there are jobs and all of them were done by the given time.
func (t runCounts) met(jobs map[string]bool, by time.Time) bool {
	for id := range jobs {
		at, ok := t.done[id]
		if !ok || at.After(by) {
			return false
		}
	}
	return len(jobs) > 0
}
