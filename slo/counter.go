package slo

import (
	"sync/atomic"
	"time"
)

// counter counts the calls of one objective.
type counter struct {
	latency     time.Duration
	good, total atomic.Int64
}

// drain returns the counts and resets them.
func (c *counter) drain() (good, total int64) {
	total = c.total.Swap(0)
	good = c.good.Swap(0)
	return min(good, total), total
}
