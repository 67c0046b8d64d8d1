package ownership

import "time"

// Grant is what this entry host holds of one shard. It is checked against the
// clock at each use, since its holder may have been paused.
type Grant struct {
	// Shard is the shard's name.
	Shard string
	// Epoch rises by one with each change of owner.
	Epoch uint64
	// Version is the version of the shard's row, a condition of every
	// commit made as its owner.
	Version uint64
	// Share is what may be used until Until.
	Share Share
	// Until is when Share lapses, on this process's monotonic clock.
	Until time.Time
	// ShareAfter is what may be used once Until has passed.
	ShareAfter Share
	// AfterUntil is when After lapses too, unless the process shows by a newer
	// grant that it was not paused; zero for never.
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
