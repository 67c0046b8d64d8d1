package control

import (
	"log/slog"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
)

// accepted reports whether the owner may give orders by what workers accept: its last commit
// is recent, or most workers have accepted its orders lately.
func (o *Owner) accepted() bool {
	at := time.Duration(o.acceptedAt.Load())
	return o.commitAge() < election.MinorityValidity || (at > 0 && boottime() < at+election.AcceptanceWindow)
}

// updateAcceptance records when most workers still accepted this owner's orders.
func (o *Owner) updateAcceptance() {
	o.forgetIfSuspended()
	if o.commitAge() < election.MinorityValidity/2 {
		return // the last commit decides
	}
	at, accepted := time.Duration(0), o.state.MajorityAcceptedAt()
	if !accepted.IsZero() {
		at = boottime() - time.Since(accepted)
	}
	o.acceptedAt.Store(int64(at))
}

// forgetIfSuspended forgets what workers have accepted before the host was suspended, since
// Go's clock doesn't count that time.
func (o *Owner) forgetIfSuspended() {
	suspended := boottime() - o.ownedSince - time.Since(o.startedAt)
	if suspended > o.suspended+maxClockStep {
		o.state.ForgetAcceptances()
	}
	o.suspended = suspended
}

// maxClockStep is the most by which two readings of clocks in sequence may differ while the
// host isn't suspended.
const maxClockStep = 20 * time.Millisecond

// leaseLeft returns how long a lease that the owner gives now may last; it isn't positive if
// the owner may give none.
func (o *Owner) leaseLeft() time.Duration {
	if !o.ownershipValid() {
		return 0
	}
	return o.leaseLimit() - boottime()
}

// leaseLimit returns the boottime at which leases end that the owner gives now at the latest.
func (o *Owner) leaseLimit() time.Duration {
	return election.LeaseLimit(time.Duration(o.committedAt.Load()), o.epochsDurable.Load(), time.Duration(o.acceptedAt.Load()))
}

// boundEarlierOwners shortens the time for which earlier owners may give orders and leases,
// once most of the workers that they knew have reported to this owner.
func (o *Owner) boundEarlierOwners(at time.Duration) {
	var bounded []uint64
	o.unbounded = slices.DeleteFunc(o.unbounded, func(b election.MajorityBound) bool {
		if !o.state.LeavesNoMajority(b.Workers, b.Removed) {
			return false
		}
		if o.earlier.ReplacedAtMajority(b.Epoch, at) {
			bounded = append(bounded, b.Epoch)
		}
		return true
	})
	if len(bounded) > 0 {
		event.EarlierOwnersBounded.Log(o.opts.Log, slog.Any("epochs", bounded), slog.Int("awaited", o.setEarlierOrders()))
	}
}
