package eviction

import "time"

// Budget bounds how many evictions happen in any minute. The zero value
// allows none.
type Budget struct {
	limit int
	taken []time.Time
}

// NewBudget returns a Budget of limit evictions a minute.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// SetLimit replaces the limit; evictions of the last minute still count.
func (b *Budget) SetLimit(limit int) { b.limit = limit }

// Available is how many more evictions may happen at now.
func (b *Budget) Available(now time.Time) int {
	expired := 0
	for expired < len(b.taken) && now.Sub(b.taken[expired]) >= time.Minute {
		expired++
	}
	b.taken = append(b.taken[:0], b.taken[expired:]...)
	return b.limit - len(b.taken)
}

// Take counts one eviction at now and reports whether it is allowed.
func (b *Budget) Take(now time.Time) bool {
	if b.Available(now) <= 0 {
		return false
	}
	b.taken = append(b.taken, now)
	return true
}
