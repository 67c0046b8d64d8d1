package ownership

import "time"

// Grant is this entry host's right to use one shard. It must be checked against
// the clock at each use, since the process may have been paused.
type Grant struct {
	// Shard is the shard's name.
	Shard string
	// Epoch increases by one with each change of owner.
	Epoch uint64
	// Version is the version of the shard's row. Every commit as the shard's
	// owner must have it as a condition.
	Version uint64
	// Share is the share that may be used until Until.
	Share Share
	// Until is when Share expires, on this process's monotonic clock.
	Until time.Time
	// ShareAfter is the share that may be used after Until.
	ShareAfter Share
	// AfterUntil is when ShareAfter expires unless there is a newer grant,
	// which shows that the process was not paused; zero for never.
	AfterUntil time.Time
}

// At returns the share that may be used at now.
func (g Grant) At(now time.Time) Share {
	if now.Before(g.Until) {
		return g.Share
	}
	if !g.AfterUntil.IsZero() && !now.Before(g.AfterUntil) {
		return None
	}
	return g.ShareAfter
}
