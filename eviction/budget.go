package eviction

import "time"

// Budget bounds the evictions in any minute. The zero value allows none.
type Budget struct {
	limit int
	taken []time.Time
}

// NewBudget returns a Budget of limit evictions per minute.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// SetLimit replaces the limit; evictions of the last minute still count.
func (b *Budget) SetLimit(limit int) { b.limit = limit }

// Available returns how many more evictions are allowed at now.
func (b *Budget) Available(now time.Time) int {
	expired := 0
	for expired < len(b.taken) && now.Sub(b.taken[expired]) >= time.Minute {
		expired++
	}
	b.taken = append(b.taken[:0], b.taken[expired:]...)
	return b.limit - len(b.taken)
}

// Take records an eviction at now if it is allowed, and reports whether it is.
func (b *Budget) Take(now time.Time) bool {
	if b.Available(now) <= 0 {
		return false
	}
	b.taken = append(b.taken, now)
	return true
}
