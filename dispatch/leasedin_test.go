package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
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

// TestTakeoverRenewsLeasesAtOnce guards against runs that end since the table service
// becomes unavailable right after a takeover: until the owner's row says that the roster
// tells the epochs, leases don't wait for the roster.
func TestTakeoverRenewsLeasesAtOnce(t *testing.T) {
	r := newRig(t, 2)
	r.takeOver(worker(0), worker(1))
	r.report(worker(0), nil, nil)
	if !r.renewsLease(worker(0)) {
		t.Error("no lease before the roster is durable")
	}
	if r.epochsKnown {
		t.Error("the owner's row says that the roster tells the epochs")
	}
}

// TestLeaseFollowsRoster guards against a lease that a later owner doesn't wait for, as the
// owner's row says that the roster tells the epochs and it doesn't.
func TestLeaseFollowsRoster(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "job", step(2, 16, longRunning))
	r.takeOver(worker(0), worker(1))
	r.members(2)
	r.report(worker(0), nil, nil)
	r.advance(2 * time.Second)
	r.flush()
	if !r.epochsKnown {
		t.Fatal("the owner's row doesn't say that the roster tells the epochs")
	}
	r.report(worker(1), nil, nil)
	if r.renewsLease(worker(1)) {
		t.Error("lease before the roster is durable")
	}
	if !r.renewsLease(worker(0)) {
		t.Error("no lease for a worker that is on the durable roster")
	}
	for _, o := range r.state.Plan(r.now).Starts {
		if o.Worker.ID == worker(1) {
			t.Error("start before the roster is durable")
		}
	}
	r.flush()
	if epoch := r.rosterEpochs()[worker(1)]; epoch != r.epoch || !r.renewsLease(worker(1)) {
		t.Errorf("roster names epoch %d, want %d and a lease", epoch, r.epoch)
	}
}

// renewsLease reports whether a poll of a worker extends its lease.
func (r *rig) renewsLease(id string) bool {
	_, o, _ := r.state.Renewal(r.now, id, testLease)
	return o.LeaseUntil != 0
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
