package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/mechanism"
)

// Config holds the parameters of a State.
type Config struct {
	// Epoch is the ownership epoch. Fencing tokens and run numbers are derived
	// from it, so that those of a later owner are always higher.
	Epoch uint64
	// Lease is how far a renewal extends a worker's lease.
	Lease time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Retention is how long a finished job can still be queried.
	Retention time.Duration
	// TailBound is how long best-effort tasks may keep a serving task's tail
	// over its target.
	TailBound time.Duration
	// NoCapacityPause is how long a worker that refused a start for lack of
	// capacity gets no new tasks.
	NoCapacityPause time.Duration
	// Limits are those of the table service; zero fields stand for the defaults.
	Limits infra.TableLimits
	// WorkerPace is set where workers may be slow while they report that they are
	// healthy; their speed is then learned.
	WorkerPace bool
	// Disabled names the policy mechanisms that are switched off, for
	// experiments.
	Disabled mechanism.Set
}

const (
	// epochShift leaves 24 bits below the epoch for the tokens and run numbers
	// of one ownership: 16 million starts, 14 hours at 320 starts a second. The sum
	// must stay below 2^53, which JSON numbers carry exactly; 500 million epochs do.
	epochShift = 24
	// maxClockDrift is how much slower than the owner's a worker's clock may
	// run, as the worker protocol specifies.
	maxClockDrift = 0.02
	// leaseExpiryMargin is added to the end of a lease before its runs count as
	// lost. It covers clocks rounded to milliseconds and late timers.
	leaseExpiryMargin = 100 * time.Millisecond
	// unhealthyPause keeps new tasks off a worker that refused an order because
	// it is unhealthy; about one membership interval.
	unhealthyPause = time.Second
)

// LongestLease returns the time by which a lease of duration d, given now by this
// owner or another, is over on every worker.
func LongestLease(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+maxClockDrift)) + leaseExpiryMargin
}
