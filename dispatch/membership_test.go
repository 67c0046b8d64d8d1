package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// unsound lists two workers, one of them by an entry that can't be used.
func (r *rig) unsound(id string) {
	r.state.SetMembers(r.now, []runner.Worker{workerInfo(other(id)), {ID: id, Malformed: true}})
}

// TestUnsoundEntryKeepsRuns lets a run go on at a worker whose entry became
// unsound while it answers, gives it nothing new, and uses it again once the
// entry is sound.
func TestUnsoundEntryKeepsRuns(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "lasting", step(1, 8, longRunning))
	first := r.plan()[0]
	id := first.Worker.ID
	for range 200 { // 20 s, more than three leases
		r.pass(testTick)
		r.unsound(id)
		r.report(id, []runner.ActiveRun{active(first)}, nil)
		r.report(other(id), nil, nil)
		if more := r.plan(); len(more) != 0 {
			t.Fatalf("started again although it runs: %v", more)
		}
	}
	r.submit(queueShort, "wide", step(4, 8))
	for _, o := range r.plan() {
		if o.Worker.ID == id {
			t.Errorf("%v started on the worker without a sound entry", o.Start.Task)
		}
	}
	r.members(2)
	again := r.plan()
	if len(again) == 0 || again[0].Worker.ID != id {
		t.Errorf("got %v, want starts on the worker that is sound again", again)
	}
	r.report(id, nil, []runner.RunEnd{end(1, first, runner.EndFailed)})
	r.flush()
	r.mustState("lasting", workload.InProgress)
}

// TestUnsoundAndSilent starts a task elsewhere only once the lease is over at
// its worker, which is silent and has an unsound entry.
func TestUnsoundAndSilent(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "job", step(1, 4))
	first := r.plan()[0]
	waited := r.waitForStart(first.Worker.ID, func() { r.unsound(first.Worker.ID) })
	if waited < 6*time.Second || waited > 6500*time.Millisecond {
		t.Errorf("started elsewhere after %v, want just over the lease of 6 s", waited)
	}
}

// TestTakeOverBesideUnsoundEntry has a later owner wait for the leases at a
// silent worker whose entry is unsound: unlike one that is missing, it may live.
func TestTakeOverBesideUnsoundEntry(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "job", step(1, 4, longRunning))
	first := r.plan()[0]
	r.flush()
	r.takeOver(worker(0), worker(1))
	waited := r.waitForStart(first.Worker.ID, func() { r.unsound(first.Worker.ID) })
	if waited < 12*time.Second || waited > 13*time.Second {
		t.Errorf("started after %v, want just over the 12 s that an earlier owner's orders may last", waited)
	}
}

// TestPoolThatNobodyNames knows no worker of a pool that no queue names, and
// keeps those that an open job of a dropped queue runs on.
func TestPoolThatNobodyNames(t *testing.T) {
	r := newRig(t, 1)
	stranger := workerInfo("stranger")
	stranger.Pool = "elsewhere"
	list := []runner.Worker{workerInfo(worker(0)), stranger}
	r.state.SetMembers(r.now, list)
	if r.state.HasWorker(stranger.ID) {
		t.Error("a worker of a pool that no queue names is known")
	}
	r.submit(queueShort, "job", step(1, 4))
	far := queueLong
	far.Pool = stranger.Pool
	r.state.SetQueues([]workload.Queue{far})
	r.state.SetMembers(r.now, list)
	r.flush()
	if !r.state.HasWorker(stranger.ID) {
		t.Error("a worker of the pool that a queue names now isn't known")
	}
	r.report(worker(0), nil, nil)
	starts := r.plan()
	if len(starts) != 1 || starts[0].Worker.ID != worker(0) {
		t.Fatalf("got %v, want the start of the dropped queue's job", starts)
	}
	r.report(worker(0), nil, []runner.RunEnd{end(1, starts[0], runner.EndDone)})
	r.flush()
	r.mustState("job", workload.Complete)
}

// TestEntryWithAnotherAddress takes an entry that moves a worker which has
// answered elsewhere for one that names no worker: whoever answers there that it
// is another life says nothing of the runs at the address known.
func TestEntryWithAnotherAddress(t *testing.T) {
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
			r.state.SetMembers(r.now, []runner.Worker{workerInfo(other(id)), moved})
			w, o, ok := r.state.Renewal(r.now, id, true)
			if ok && w.Address == moved.Address {
				r.state.HandleReport(r.now, id, o, runner.Answer{Status: runner.Restarted}, runner.Report{})
			}
		})
		if waited < 6*time.Second {
			t.Errorf("inherited %v: started elsewhere after %v, want after the lease", inherited, waited)
		}
		r.state.SetMembers(r.now, []runner.Worker{moved})
		r.pass(testTick)
		r.state.SetMembers(r.now, []runner.Worker{moved})
		if w, _, ok := r.state.Renewal(r.now, id, true); !ok || w.Address != moved.Address {
			t.Errorf("inherited %v: at %q once its leases are over, want the address of its entry", inherited, w.Address)
		}
	}
}
