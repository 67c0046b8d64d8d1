package dispatch_test

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
)

// unleased commits all changes and returns the end of the leases of the workers that the owner's
// row names as those that get none, by the order of the row.
func (r *rig) unleased() []dispatch.UnleasedWorker {
	r.t.Helper()
	b, err := r.state.Flush(r.now, 98)
	if err != nil {
		r.t.Fatal(err)
	}
	r.apply(b)
	return b.Unleased
}

// silentLease is more than is left of a lease that was given a second ago, by some ticks.
const silentLease = testLease - time.Second + 6*testTick

// newSilentRig returns a rig of two workers of which the first has a long-running task and
// hasn't answered for a second.
func newSilentRig(t *testing.T) (r *rig, silent string) {
	r = newRig(t, 2)
	r.submit(queueShort, "job", step(1, 4, longRunning))
	silent = r.plan()[0].Worker.ID
	r.flush()
	for range 10 {
		r.noAnswer(silent)
		r.report(otherWorker(silent), nil, nil)
		r.advance(testTick)
	}
	return r, silent
}

// TestUnleasedWorkerGetsNoLease guards against a lease that a successor doesn't wait for: the
// owner's row says that the worker, which answers again, gets none.
func TestUnleasedWorkerGetsNoLease(t *testing.T) {
	r, silent := newSilentRig(t)
	r.submit(queueShort, "other", step(8, 4))
	if named := r.unleased(); len(named) != 1 || named[0].LeaseEnd.Sub(r.now) > silentLease {
		t.Fatalf("the row names %+v, want the worker with what is left of its lease", named)
	}
	r.report(silent, nil, nil)
	if r.renewsLease(silent) {
		t.Error("the worker gets a lease while the row names it")
	}
	for _, o := range r.state.Plan(r.now).Starts {
		if o.Worker.ID == silent {
			t.Error("the worker gets a start while the row names it")
		}
	}
	if named := r.unleased(); len(named) != 0 {
		t.Errorf("the row names %+v after the worker has answered", named)
	}
	if !r.renewsLease(silent) {
		t.Error("the worker gets no lease although the row doesn't name it any more")
	}
}

// TestUnconfirmedCommitKeepsWorkerUnleased guards against a lease that is given while a commit
// without the worker isn't known to be applied.
func TestUnconfirmedCommitKeepsWorkerUnleased(t *testing.T) {
	r, silent := newSilentRig(t)
	r.unleased()
	r.report(silent, nil, nil)
	b, err := r.state.Flush(r.now, 98)
	if err != nil {
		t.Fatal(err)
	}
	if len(b.Unleased) != 0 || !b.UnleasedChanged {
		t.Fatalf("the batch names %+v, changed: %v", b.Unleased, b.UnleasedChanged)
	}
	if r.renewsLease(silent) {
		t.Error("the worker gets a lease before the commit is applied")
	}
	r.apply(b)
	if !r.renewsLease(silent) {
		t.Error("the worker gets no lease after the commit")
	}
}

// TestOneUnansweredPollNamesNobody guards against workers that get no leases in an outage of the
// store, since one poll of theirs had failed with its connection.
func TestOneUnansweredPollNamesNobody(t *testing.T) {
	r := newRig(t, 2)
	r.noAnswer(worker(0))
	r.advance(3 * testTick)
	if named := r.unleased(); len(named) != 0 {
		t.Errorf("the row names %+v after one unanswered poll", named)
	}
}

// TestUnleasedWorkerIsWaitedForShortly guards against a successor that waits for leases that the
// row of the owner before rules out, and against one that doesn't name the worker on.
func TestUnleasedWorkerIsWaitedForShortly(t *testing.T) {
	r, silent := newSilentRig(t)
	named := r.unleased()
	for range 2 { // the second owner follows before the first has polled the worker
		r.takeOver(worker(0), worker(1))
		r.members(2)
		r.state.InheritUnleased(named)
		r.report(otherWorker(silent), nil, nil)
		if named = r.unleased(); len(named) != 1 {
			t.Fatalf("the row names %+v, want the worker", named)
		}
	}
	if waited := r.waitForStart(silent, func() {}); waited > silentLease {
		t.Errorf("the task started after %v, want %v at most", waited, silentLease)
	}
}

// collidingIDs returns two IDs of workers that have one hash in rows.
func collidingIDs() (a, b string) {
	seen := map[uint32]string{}
	for i := 0; ; i++ {
		id := fmt.Sprint("i-", i)
		h := fnv.New32a()
		_, _ = h.Write([]byte(id))
		if other, ok := seen[h.Sum32()]; ok {
			return other, id
		}
		seen[h.Sum32()] = id
	}
}

// TestCollidingWorkersAreWaitedFor guards against a task that runs twice, since the row names
// another worker with the same hash.
func TestCollidingWorkersAreWaitedFor(t *testing.T) {
	a, b := collidingIDs()
	r := newRig(t, 1)
	r.startOwner(2)
	r.state.SetEarlierOrders([]dispatch.EarlierOrders{{Epoch: 1, End: r.now}})
	for _, id := range []string{a, b} {
		r.state.InheritWorker(dispatch.RosterWorker{Worker: workerInfo(id), LeasedIn: 1}, true)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(a))
	r.state.InheritUnleased([]dispatch.UnleasedWorker{{Worker: h.Sum32(), LeaseEnd: r.now}})
	r.flush()
	r.advance(testLease - time.Second)
	r.plan()
	r.state.SetMembers(r.now, nil)
	for _, id := range []string{a, b} {
		if !r.state.HasWorker(id) {
			t.Errorf("worker %s was given up while it may hold a lease", id)
		}
	}
}
