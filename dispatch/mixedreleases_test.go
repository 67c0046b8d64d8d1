package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/runner"
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

// TestLongerLeaseOfEarlierReleaseIsWaitedFor guards against a task that runs twice since an owner of
// the release before gave its worker a longer lease than this owner gives, both where the worker
// reports to this owner before it falls silent and where it doesn't.
func TestLongerLeaseOfEarlierReleaseIsWaitedFor(t *testing.T) {
	const longer = testLease + 2*time.Second
	for _, reports := range []bool{false, true} {
		r := newRig(t, 2)
		r.submit(queueShort, "job", step(1, 4, longRunning))
		start := r.plan()[0]
		id := start.Worker.ID
		r.flush()
		r.takeOver(worker(0), worker(1))
		r.members(2)
		r.state.SetEarlierOrders([]dispatch.EarlierOrders{{Epoch: 1, End: r.now, Lease: longer}})
		if reports {
			r.report(id, []runner.ActiveRun{active(start)}, nil)
		}
		r.report(otherWorker(id), nil, nil)
		if waited := r.waitForStart(id, func() {}); waited < longer {
			t.Errorf("reported %v: the task starts elsewhere after %v, while a lease may last for %v", reports, waited, longer)
		}
	}
}
