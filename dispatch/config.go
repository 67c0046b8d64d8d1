package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
)

// Config sets the limits of a State.
type Config struct {
	// Epoch is the ownership epoch; fencing tokens and run numbers are built
	// on it, so that those of a later owner are always higher.
	Epoch uint64
	// Lease is how far a renewal extends a worker's lease.
	Lease time.Duration
	// InheritedLease bounds how long runs that an earlier owner started may
	// go on at a worker that this owner can't reach.
	InheritedLease time.Duration
	// Retention is how long a job that is over can still be asked for.
	Retention time.Duration
	// TailBound is how long fillers may keep a serving task's tail over its
	// target.
	TailBound time.Duration
	// NoCapacityPause is how long a worker that refused a start for want of room gets
	// no other.
	NoCapacityPause time.Duration
	// Disabled names what the policy leaves out, for experiments.
	Disabled mechanism.Set
}

const (
	// epochShift leaves 24 bits below the epoch for tokens and runs of one
	// ownership: 16 million starts, 14 hours at 320 starts a second. The sum
	// stays below 2^53, which JSON numbers carry exactly, for 500 million
	// epochs.
	epochShift = 24
	// clockDrift is how much slower than ours a worker's clock may run, from
	// the worker's protocol.
	clockDrift = 0.02
	// lostMargin is added to a lease's end before its runs count as over; it
	// covers the rounding of clocks to milliseconds and a late timer.
	lostMargin = 100 * time.Millisecond
	// unhealthyPause keeps new tasks from a worker that refused an order
	// because it is unhealthy; about one membership interval.
	unhealthyPause = time.Second
)
