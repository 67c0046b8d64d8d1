package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// listMalformed lists two workers, one of them with a malformed entry.
func (r *rig) listMalformed(id string) {
	r.state.SetMembers(r.now, []runner.Worker{workerInfo(otherWorker(id)), {ID: id, Malformed: true}})
}

// TestMalformedEntryKeepsRuns checks that a run survives while its worker
// answers but has a malformed entry, that the worker gets no new tasks, and
// that it is used again once the entry is correct.
func TestMalformedEntryKeepsRuns(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "service", step(1, 8, longRunning))
	first := r.plan()[0]
	id := first.Worker.ID
	for range 200 { // 20 s, more than three leases
		r.advance(testTick)
		r.listMalformed(id)
		r.report(id, []runner.ActiveRun{active(first)}, nil)
		r.report(otherWorker(id), nil, nil)
		if more := r.plan(); len(more) != 0 {
			t.Fatalf("started again while it runs: %v", more)
		}
	}
	r.submit(queueShort, "wide", step(4, 8))
	for _, o := range r.plan() {
		if o.Worker.ID == id {
			t.Errorf("%v started on the worker with a malformed entry", o.Start.Task)
		}
	}
	r.members(2)
	again := r.plan()
	if len(again) == 0 || again[0].Worker.ID != id {
		t.Errorf("got %v, want starts on the worker whose entry is correct again", again)
	}
	r.report(id, nil, []runner.RunEnd{end(1, first, runner.EndFailed)})
	r.flush()
	r.wantState("service", workload.InProgress)
}

// TestMalformedEntryOfUnresponsiveWorker checks that a task of an unresponsive
// worker with a malformed entry starts elsewhere only after the lease.
func TestMalformedEntryOfUnresponsiveWorker(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "job", step(1, 4))
	first := r.plan()[0]
	waited := r.waitForStart(first.Worker.ID, func() { r.listMalformed(first.Worker.ID) })
	if waited < 6*time.Second || waited > 6500*time.Millisecond {
		t.Errorf("started elsewhere after %v, want just over the lease of 6 s", waited)
	}
}

// TestTakeOverWithMalformedEntry checks that a new owner waits for the leases
// at an unresponsive worker with a malformed entry, unlike at a missing one.
func TestTakeOverWithMalformedEntry(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "job", step(1, 4, longRunning))
	first := r.plan()[0]
	r.flush()
	r.takeOver(worker(0), worker(1))
	waited := r.waitForStart(first.Worker.ID, func() { r.listMalformed(first.Worker.ID) })
	if waited < 12*time.Second || waited > 13*time.Second {
		t.Errorf("started after %v, want just over the inherited lease of 12 s", waited)
	}
}

// TestWorkerOfUnusedPoolIsIgnored checks that a worker of a pool without a
// queue is ignored, and that a worker stays known for the open jobs of a
// removed queue.
func TestWorkerOfUnusedPoolIsIgnored(t *testing.T) {
	r := newRig(t, 1)
	foreign := workerInfo("foreign")
	foreign.Pool = "elsewhere"
	list := []runner.Worker{workerInfo(worker(0)), foreign}
	r.state.SetMembers(r.now, list)
	if r.state.HasWorker(foreign.ID) {
		t.Error("a worker of a pool that no queue names is known")
	}
	r.submit(queueShort, "job", step(1, 4))
	far := queueLong
	far.Pool = foreign.Pool
	r.state.SetQueues([]workload.Queue{far})
	r.state.SetMembers(r.now, list)
	r.flush()
	if !r.state.HasWorker(foreign.ID) {
		t.Error("a worker of a pool that a queue names isn't known")
	}
	r.report(worker(0), nil, nil)
	starts := r.plan()
	if len(starts) != 1 || starts[0].Worker.ID != worker(0) {
		t.Fatalf("got %v, want the start of the removed queue's job", starts)
	}
	r.report(worker(0), nil, []runner.RunEnd{end(1, starts[0], runner.EndDone)})
	r.flush()
	r.wantState("job", workload.Complete)
}

// TestEntryWithChangedAddress checks that an entry with another address is
// ignored while the worker may hold runs: an answer from another incarnation at
// that address doesn't end them.
func TestEntryWithChangedAddress(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		r := newRig(t, 2)
		r.submit(queueShort, "job", step(1, 4, longRunning))
		first := r.plan()[0]
		r.flush()
		id := first.Worker.ID
		if inherited {
			r.takeOver(worker(0), worker(1))
		}
		moved := workerInfo(id)
		moved.Address = "10.0.0.2:80"
		waited := r.waitForStart(id, func() {
			r.state.SetMembers(r.now, []runner.Worker{workerInfo(otherWorker(id)), moved})
			w, o, ok := r.state.Renewal(r.now, id, testLease)
			if ok && w.Address == moved.Address {
				r.state.HandleReport(r.now, id, o, runner.Answer{Status: runner.Restarted}, runner.Report{})
			}
		})
		if waited < 6*time.Second {
			t.Errorf("inherited %v: started elsewhere after %v, want after the lease", inherited, waited)
		}
		r.state.SetMembers(r.now, []runner.Worker{moved})
		r.advance(testTick)
		r.state.SetMembers(r.now, []runner.Worker{moved})
		if w, _, ok := r.state.Renewal(r.now, id, testLease); !ok || w.Address != moved.Address {
			t.Errorf("inherited %v: at %q after its leases expired, want the address of its entry", inherited, w.Address)
		}
	}
}
