package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// TestOwnersInSuccessionDoNotRestartTheWait guards against a task that never restarts since
// each owner lasts less long than the wait for the task's lost worker.
func TestOwnersInSuccessionDoNotRestartTheWait(t *testing.T) {
	const term = 3 * time.Second // of each owner after the first
	r := newRig(t, 2)
	r.submit(queueShort, "job", step(1, 4, longRunning))
	first := r.plan()[0]
	r.flush()
	lost := first.Worker.ID
	for waited := time.Duration(0); waited < 10*time.Second; waited += testTick {
		if waited%term == 0 {
			r.takeOver(worker(0), worker(1))
			r.members(2)
			r.ownerStopped(r.epoch - 1)
		}
		r.noAnswer(lost)
		r.report(otherWorker(lost), nil, nil)
		r.flush()
		if len(r.plan()) > 0 {
			if waited < 6*time.Second || waited > 7*time.Second {
				t.Errorf("started after %v, want just over the lease of 6 s", waited)
			}
			return
		}
		r.advance(testTick)
	}
	t.Error("not started within 10 s")
}

// TestLeaseFollowsRoster guards against a lease that a later owner doesn't wait for, as the
// roster doesn't tell that this owner may have given it.
func TestLeaseFollowsRoster(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "job", step(1, 4, longRunning))
	r.takeOver(worker(0))
	r.state.SetMembers(r.now, []runner.Worker{workerInfo(worker(0))})
	r.report(worker(0), nil, nil)
	if _, o, _ := r.state.Renewal(r.now, worker(0), true); o.LeaseUntil != 0 || len(r.plan()) > 0 {
		t.Error("lease or start before the roster is durable")
	}
	r.flush()
	if epoch := r.rosterEpochs()[worker(0)]; epoch != r.epoch {
		t.Errorf("roster names epoch %d, want %d", epoch, r.epoch)
	}
	if _, o, _ := r.state.Renewal(r.now, worker(0), true); o.LeaseUntil == 0 || len(r.plan()) != 1 {
		t.Error("no lease or no start although the roster is durable")
	}
}

// TestRosterOfEarlierRelease checks that epochs on a roster aren't relied on if an owner in
// between didn't keep them, and that they are written again.
func TestRosterOfEarlierRelease(t *testing.T) {
	r := newRig(t, 0)
	r.startOwner(3)
	r.state.SetEarlierOrders([]dispatch.EarlierOrders{{Epoch: 1, End: r.now.Add(-time.Minute)}, {Epoch: 2, End: r.now}})
	r.state.InheritWorker(dispatch.RosterWorker{Worker: workerInfo(worker(0)), LeasedIn: 1}, false)
	if !r.state.HasUrgentChanges() {
		t.Error("the roster isn't written again")
	}
	r.flush()
	r.advance(6 * time.Second)
	r.state.SetMembers(r.now, nil)
	r.plan()
	if !r.state.HasWorker(worker(0)) {
		t.Error("the worker was given up while a lease of epoch 2 may last")
	}
	r.advance(time.Second)
	r.plan()
	r.flush()
	if r.state.HasWorker(worker(0)) {
		t.Error("the worker wasn't given up after all leases")
	}
	if epoch := r.rosterEpochs()[worker(0)]; epoch != 0 {
		t.Errorf("roster names epoch %d, want none", epoch)
	}
}
