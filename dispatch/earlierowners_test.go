package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// TestTaskWaitsForAllEarlierOwners guards against a second run of a task on whose
// worker an owner before the previous one still renews the lease.
func TestTaskWaitsForAllEarlierOwners(t *testing.T) {
	r := newRig(t, 2)
	w := r.startLongRunning()
	frozen := r.state // epoch 1 reaches the worker again later; epochs 2 and 3 never do
	r.advance(time.Second)
	r.takeOver(worker(0), worker(1))
	r.advance(time.Second)
	r.takeOver(worker(0), worker(1))
	r.members(2)
	r.ownerStopped(2)
	other := otherWorker(w.info.ID)
	for elapsed := time.Duration(0); elapsed < 20*time.Second; elapsed += testTick {
		r.advance(testTick)
		w.advance(r.now, r.clock())
		if elapsed == 3*time.Second {
			r.renew(frozen, w)
		}
		r.report(other, nil, nil)
		r.noAnswer(w.info.ID)
		for _, o := range r.state.Plan(r.now).Starts {
			if len(w.runs) > 0 {
				t.Fatalf("started %v on %s after %v while it runs on %s", o.Start.Task, o.Worker.ID, elapsed, w.info.ID)
			}
			return
		}
		r.flush()
	}
	t.Error("the task wasn't started again")
}

// renew lets an owner renew a worker's lease.
func (r *rig) renew(owner *dispatch.State, w *faultWorker) {
	r.t.Helper()
	_, renewal, ok := owner.Renewal(r.now, w.info.ID, testLease)
	if !ok {
		r.t.Fatalf("worker %s isn't known", w.info.ID)
	}
	if status, _ := w.renew(r.clock(), renewal); status != runner.Done {
		r.t.Fatalf("renewal: %v", status)
	}
}

// startLongRunning starts the only task of a long-running job, whose location is stored,
// and returns the worker that runs it.
func (r *rig) startLongRunning() *faultWorker {
	r.t.Helper()
	r.submit(queueShort, "job", step(1, 4, longRunning))
	first := r.plan()[0]
	r.flush()
	w := newFaultWorker(first.Worker.ID)
	run := &faultRun{number: first.Start.Run, step: &r.jobs[0].Steps[0], startedAt: r.now}
	if status := w.start(r.clock(), first.Start, run); status != runner.Done {
		r.t.Fatalf("start: %v", status)
	}
	return w
}
