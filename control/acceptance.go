package control

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
)

// accepted reports whether the owner may give orders by what workers accept: its last commit
// is recent, or most workers have accepted its orders lately.
func (o *Owner) accepted() bool {
	return o.commitAge() < election.MinorityValidity || boottime() < time.Duration(o.acceptedUntil.Load())
}

// updateAcceptance records until when most workers accept this owner's orders. at is the
// boottime of now.
func (o *Owner) updateAcceptance(now time.Time, at time.Duration) {
	if o.commitAge() < election.MinorityValidity/2 {
		return // the last commit decides
	}
	until := time.Duration(0)
	if accepted := o.state.MajorityAcceptedAt(); !accepted.IsZero() {
		until = at - now.Sub(accepted) + election.AcceptanceWindow
	}
	o.acceptedUntil.Store(int64(until))
}

// boundPredecessor shortens the time for which the previous owner may give orders, once most
// of the workers that it knew have reported to this owner.
func (o *Owner) boundPredecessor(at time.Duration) {
	if o.predecessor == 0 || !o.state.ReportedByMajority() {
		return
	}
	epoch := o.predecessor
	o.predecessor = 0
	if o.earlier.ReplacedAtMajority(epoch, at) {
		event.EarlierOwnerBounded.Log(o.opts.Log, slog.Uint64("epoch", epoch), slog.Int("awaited", o.setEarlierOrders()))
	}
}
