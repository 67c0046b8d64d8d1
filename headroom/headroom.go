// Package headroom keeps room for short work in a pool that long-running
// tasks would fill. It is pure.
//
// The load it answers is long-running tasks that come until the pool is full:
// they never leave, so each short task that comes later finds only what is
// left between them. So a long-running task's first start waits while less
// would be left than short work has lately needed.
package headroom

import (
	"math"
	"time"
)

const (
	// halfLife is in how long the remembered need falls by half; several
	// times a short job's run, so that a lull between two jobs doesn't give
	// its room away.
	halfLife = 6 * time.Second
	// spare is kept beyond the need: the swing of arrivals within seconds.
	spare = 1.25
)

// Tracker remembers how much room short work has needed, in thousandths of a
// core. The zero value remembers nothing.
type Tracker struct {
	need float64
	at   time.Time
}

// Observe takes in what short work uses and waits for now. The need rises at
// once and falls slowly.
func (t *Tracker) Observe(now time.Time, inUse, waiting int64) {
	if !t.at.IsZero() && now.After(t.at) {
		t.need *= math.Exp2(-float64(now.Sub(t.at)) / float64(halfLife))
	}
	t.at = now
	t.need = max(t.need, float64(inUse+waiting))
}

// Headroom returns how much of the free room must stay free of long-running
// tasks, given what short work uses now.
func (t *Tracker) Headroom(inUse int64) int64 {
	return max(int64(spare*t.need)-inUse, 0)
}
