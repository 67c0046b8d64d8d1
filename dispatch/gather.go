package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
)

const (
	// gatherPause is how long no other long-running job must have come before
	// the first starts of those that have go ahead. Jobs that come together are
	// milliseconds apart, and a commit takes some ten.
	gatherPause = 100 * time.Millisecond
	// gatherMost is how long a job waits for others at most: little beside the
	// second or more that its objective allows, and the minutes that it stays.
	gatherMost = 400 * time.Millisecond
)

// gathering reports whether the job's long-running tasks wait for others that
// come at the same time, so that the queue can order all of them. Placed as they
// came, those that must spread over many workers found these taken.
func (s *State) gathering(now time.Time, j *job) bool {
	if s.cfg.Disabled.Has(mechanism.SpreadFirst) {
		return false
	}
	return j.lasting && !j.inherited && now.Sub(s.lastingAt) < gatherPause && now.Sub(j.accepted) < gatherMost
}
