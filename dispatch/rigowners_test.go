package dispatch_test

import (
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/election"
)

// replaceEarlierOwners passes on what the new owner knows of the earlier ones: what the
// previous owner knew, and that this one may give orders for rigValidity.
func (r *rig) replaceEarlierOwners() {
	now := r.sinceStart()
	var row election.Record
	if r.earlier != nil {
		row.Earlier = r.earlier.List(now)
	}
	row.Earlier = append(row.Earlier, election.EarlierOwner{Epoch: r.epoch - 1, OrdersMS: rigValidity.Milliseconds()})
	r.earlier = election.NewEarlierOwners(&row, now)
	r.setEarlierOrders()
}

// ownerStopped tells the State that the owner of an epoch gives no more orders.
func (r *rig) ownerStopped(epoch uint64) {
	r.earlier.Stopped(epoch, r.sinceStart())
	r.setEarlierOrders()
}

// setEarlierOrders passes on until when earlier owners may give orders.
func (r *rig) setEarlierOrders() {
	var all []dispatch.EarlierOrders
	for _, e := range r.earlier.List(r.sinceStart()) {
		orders := dispatch.EarlierOrders{Epoch: e.Epoch, End: r.now.Add(time.Duration(e.OrdersMS) * time.Millisecond)}
		if r.lease != 0 { // the rig's own leases are longer than those that the rows tell
			orders.Lease = e.LongestLease()
		}
		if e.LeasesMS != 0 {
			orders.LeasesEnd = r.now.Add(time.Duration(e.LeasesMS) * time.Millisecond)
		}
		all = append(all, orders)
	}
	r.state.SetEarlierOrders(all)
}

// rosterEpochs returns, by worker, the latest epoch whose owner may have given it leases
// according to the committed roster.
func (r *rig) rosterEpochs() map[string]uint64 {
	r.t.Helper()
	epochs := map[string]uint64{}
	for id, w := range r.rosterRows() {
		epochs[id] = w.LeasedIn
	}
	return epochs
}

// rosterRows returns the workers of the committed roster.
func (r *rig) rosterRows() map[string]dispatch.RosterWorker {
	r.t.Helper()
	workers := map[string]dispatch.RosterWorker{}
	for key, value := range r.rows {
		if !strings.HasPrefix(key, dispatch.RosterPrefix) {
			continue
		}
		var row dispatch.RosterRow
		if err := msgpack.Unmarshal(value, &row); err != nil {
			r.t.Fatal(err)
		}
		for _, w := range row.Workers {
			workers[w.ID] = w
		}
	}
	return workers
}
