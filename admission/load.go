package admission

import (
	"math"
	"time"
)

// Load is what a new job of a queue would find.
type Load struct {
	// Ahead is the remaining work, in core-milliseconds, of the open jobs with the same
	// or a higher priority in the same pool.
	Ahead int64
	// Late is the part of Ahead that is late already, and so comes after a new job that
	// can be on time.
	Late int64
	// Rate is the work, in core-milliseconds per second, that these queues complete; 0
	// if unknown.
	Rate float64
	// Full is set while tasks of these queues wait for lack of capacity.
	Full bool
}

// maxWait bounds expected waits, so that a rate near zero doesn't overflow them. No job is
// useful after such a wait.
const maxWait = 24 * time.Hour

// Known reports whether the load says how long a new job would wait.
func (l Load) Known() bool { return l.Full && l.Rate > 0 && !math.IsInf(l.Rate, 0) }

// Wait returns the time until the backlog is empty, 0 if the rate is unknown.
func (l Load) Wait() time.Duration {
	if !(l.Rate > 0) || math.IsInf(l.Rate, 0) || l.Ahead <= 0 {
		return 0
	}
	return l.drainTime(l.Ahead)
}

// OnTimeWait returns the time until the work is completed that comes before a new job
// which can be on time, 0 if the rate is unknown.
func (l Load) OnTimeWait() time.Duration { return Load{Ahead: l.Ahead - l.Late, Rate: l.Rate}.Wait() }

// drainTime returns the time in which an amount of work is completed.
func (l Load) drainTime(work int64) time.Duration {
	return time.Duration(min(float64(work)/l.Rate, maxWait.Seconds()) * float64(time.Second))
}
