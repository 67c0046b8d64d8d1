// Package headroom reserves capacity for short tasks in a pool that also runs
// long-running tasks. It does no I/O and reads no clock.
//
// Long-running tasks don't release their capacity, so unless their number is
// limited, short tasks that arrive later find no worker. The first start of a
// long-running task therefore waits while it would leave less than short tasks
// have needed lately.
package headroom

import (
	"math"
	"time"
)

const (
	// halfLife is the half-life of the tracked demand; it exceeds the run time
	// of short jobs, so that capacity stays reserved between two of them.
	halfLife = 6 * time.Second
	// spareFactor allows for variations of the arrival rate.
	spareFactor = 1.25
)

// Tracker tracks the demand of short tasks, in thousandths of a core. The zero
// value tracks no demand.
type Tracker struct {
	demand    float64
	updatedAt time.Time
}

// Observe updates the demand with what short tasks use and what waiting ones
// request. It rises at once and decays exponentially.
func (t *Tracker) Observe(now time.Time, inUse, waiting int64) {
	if !t.updatedAt.IsZero() && now.After(t.updatedAt) {
		t.demand *= math.Exp2(-float64(now.Sub(t.updatedAt)) / float64(halfLife))
	}
	t.updatedAt = now
	t.demand = max(t.demand, float64(inUse+waiting))
}

// Headroom returns the free capacity that must not be given to long-running
// tasks, in thousandths of a core, if short tasks use inUse.
func (t *Tracker) Headroom(inUse int64) int64 {
	return max(int64(spareFactor*t.demand)-inUse, 0)
}
