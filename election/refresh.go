package election

import "time"

const (
	// refreshAfter is the age of an owner's last commit from which its row is
	// refreshed: more than the heartbeat, which the owner's loop mostly keeps
	// itself, and less than the age that makes other hosts look for themselves.
	refreshAfter = 500 * time.Millisecond
	// loopLimit is how long the owner's loop may be at work on one thing. The
	// state may take 8 s to read and a planning cycle over 490 workers a few on
	// the weakest hosts; a loop that takes longer stands still, and the domain
	// is another host's.
	loopLimit = 10 * time.Second
)

// RefreshDue reports whether an owner's row needs a refresh, by the ages of its
// last commit and of the last turn of its loop.
func RefreshDue(commit, turn time.Duration) bool {
	return commit >= refreshAfter && turn < loopLimit
}
