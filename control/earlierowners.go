package control

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
)

// handleEarlierOwnerStopped records that an earlier owner gives no more orders. Runs
// on inherited workers that don't answer then count as over sooner, once none of the
// other earlier owners can renew their leases.
func (o *Owner) handleEarlierOwnerStopped(e election.EarlierOwner) {
	if !o.earlier.Stopped(e.Epoch, boottime()) {
		return
	}
	awaited := o.setEarlierOrders()
	event.EarlierOwnerStopped.Log(o.opts.Log, slog.String("host", e.Host), slog.Uint64("epoch", e.Epoch), slog.Int("awaited", awaited))
}

// boundReplacedCommit takes over from the table service's clock when the last commit of the owner
// before began, which is known more closely from it than from how long its row was seen unchanged.
func (o *Owner) boundReplacedCommit(previous *election.Record) {
	if at, known := o.committer.ReplacedCommit(previous); known {
		o.earlier.CommittedBefore(previous.Epoch, at)
		o.setEarlierOrders()
	}
}

// inheritedUnleased returns the workers that the row names with which this owner acquired the
// domain. Its commit began before the owner was created.
func (o *Owner) inheritedUnleased() []dispatch.UnleasedWorker {
	var workers []dispatch.UnleasedWorker
	for _, u := range o.committer.Record().Unleased {
		end := o.startedAt.Add(time.Duration(u.LeasesMS) * time.Millisecond)
		workers = append(workers, dispatch.UnleasedWorker{Worker: u.Worker, LeaseEnd: end})
	}
	return workers
}

// setEarlierOrders passes on until when earlier owners may give orders. It returns the
// number of inherited workers that haven't reported.
func (o *Owner) setEarlierOrders() int {
	at, now := boottime(), time.Now()
	var all []dispatch.EarlierOrders
	for _, e := range o.earlier.List(at) {
		orders := dispatch.EarlierOrders{Epoch: e.Epoch, End: now.Add(time.Duration(e.OrdersMS) * time.Millisecond), Lease: e.LongestLease()}
		if e.LeasesMS != 0 {
			orders.LeasesEnd = now.Add(time.Duration(e.LeasesMS) * time.Millisecond)
		}
		all = append(all, orders)
	}
	return o.state.SetEarlierOrders(all)
}
