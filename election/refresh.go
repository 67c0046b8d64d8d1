package election

import "time"

const (
	// refreshAfter is the age of the owner's last commit from which its row is
	// refreshed: above the interval of heartbeat commits, below StaleAfter.
	refreshAfter = 500 * time.Millisecond
	// minCycleAge is the age of the loop's last cycle from which the row is refreshed.
	// A loop that cycles commits the row by itself; on a slow table service a refresh
	// would only delay its next commit, for which callers wait.
	minCycleAge = 200 * time.Millisecond
	// maxProgressAge is the age of the last progress of the owner's loop, or of its load of
	// the state, from which it counts as stuck, and other hosts may take the domain over.
	maxProgressAge = 10 * time.Second
)

// RefreshDue reports whether the owner's row needs a refresh, given the time since its
// last commit, since the last cycle of its loop, and since the last progress of that or
// of the load before it.
func RefreshDue(commitAge, cycleAge, progressAge time.Duration) bool {
	return commitAge >= refreshAfter && cycleAge >= minCycleAge && progressAge < maxProgressAge
}
