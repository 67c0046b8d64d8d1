package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/election"
)

// TestRosterEpochsAfterEarlierReleaseNeedRewrite guards against epochs on the roster that are
// relied on although an owner of an earlier release has given leases without them, since an
// owner in between ended before it wrote the roster again.
func TestRosterEpochsAfterEarlierReleaseNeedRewrite(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "job", step(1, 4, longRunning))
	if len(r.plan()) != 1 {
		t.Fatal("nothing started")
	}
	r.flush() // the roster names epoch 1
	r.advance(time.Minute)
	const renewedBy = 3 // an owner of an earlier release, which has renewed the worker's lease just now
	row := election.Record{Host: "c", Address: "c", Incarnation: "c", Epoch: renewedBy}
	row = election.Successor(&row, election.Record{Host: "d", Address: "d", Incarnation: "d"}, 0) // it ends at once
	r.startOwner(row.Epoch + 1)
	r.state.SetEarlierOrders([]dispatch.EarlierOrders{{Epoch: renewedBy, End: r.now}, {Epoch: row.Epoch, End: r.now}})
	epochs := r.rosterEpochs()
	r.state.InheritWorker(dispatch.RosterWorker{Worker: workerInfo(worker(0)), LeasedIn: epochs[worker(0)]}, row.RosterEpochs)
	r.advance(testTick)
	r.noAnswer(worker(0))
	r.plan()
	if !r.state.HasWorker(worker(0)) {
		t.Errorf("the worker was given up %v after its lease of %v was renewed", testTick, testLease)
	}
}
