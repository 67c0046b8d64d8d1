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
	// maxCycleTime is the longest plausible cycle of the owner's loop, including
	// the time to load the state. A loop that takes longer counts as stuck, and
	// other hosts may take the domain over.
	maxCycleTime = 10 * time.Second
)

// RefreshDue reports whether the owner's row needs a refresh, given the time
// since its last commit and since the last cycle of its loop.
func RefreshDue(commitAge, cycleAge time.Duration) bool {
	return commitAge >= refreshAfter && cycleAge >= minCycleAge && cycleAge < maxCycleTime
}
