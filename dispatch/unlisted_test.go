package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

// TestUnlistedWorkerKeepsItsRuns guards against a second run of a task whose worker is
// cut off from the table service and the new owner, and goes on under its lease.
func TestUnlistedWorkerKeepsItsRuns(t *testing.T) {
	r := newRig(t, 2)
	w := r.startLongRunning()
	r.takeOver(worker(0), worker(1))
	r.waitForStart(w.info.ID, func() {
		w.advance(r.now, r.clock())
		r.state.SetMembers(r.now, []runner.Worker{workerInfo(otherWorker(w.info.ID))})
	})
	if len(w.runs) > 0 {
		t.Errorf("started again after %v while it runs on %s", r.sinceStart(), w.info.ID)
	}
}

// TestUnlistedWorkerIsLostWithItsLease checks that a task of a worker that isn't on the
// list restarts once all leases are over that earlier owners can have given.
func TestUnlistedWorkerIsLostWithItsLease(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "job", step(1, 4, longRunning))
	first := r.plan()[0]
	r.flush()
	r.takeOver(worker(0), worker(1))
	r.ownerStopped(1)
	waited := r.waitForStart(first.Worker.ID, func() {
		r.state.SetMembers(r.now, []runner.Worker{workerInfo(otherWorker(first.Worker.ID))})
	})
	if waited < 6*time.Second || waited > 7*time.Second {
		t.Errorf("started after %v, want just over the lease of 6 s", waited)
	}
}
