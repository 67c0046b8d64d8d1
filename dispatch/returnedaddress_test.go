package dispatch_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/runner"
)

// TestReturnedWorkerKeepsItsAddress guards against runs that are taken for over while they are
// alive: before a worker that has started again under its ID has reported, an entry with a
// wrong address replaced the one at which it has answered, and another worker's answer there
// counted as the end of its runs.
func TestReturnedWorkerKeepsItsAddress(t *testing.T) {
	first := newLifeRig(t)
	second := newTestLife(first.rig, 2)
	second.submit(queueShort, "job", step(1, 2))
	second.advance(testTick)
	if len(second.startAll()) != 1 { // the answer shows the new life
		t.Fatal("nothing started")
	}
	wrong := workerInfo(worker(0))
	wrong.Address = "10.0.0.9:80"
	second.state.SetMembers(second.now, []runner.Worker{wrong})
	w, o, ok := second.state.Renewal(second.now, worker(0), testLease)
	if !ok || w.Address != workerInfo(worker(0)).Address {
		t.Errorf("polled at %s (known: %v), want the address at which it has answered", w.Address, ok)
	}
	if w.Address == wrong.Address {
		second.state.HandleReport(second.now, worker(0), o, runner.Answer{Status: runner.Restarted}, runner.Report{})
	}
	second.members(1)
	for range 5 {
		second.poll()
		if again := second.startAll(); len(again) > 0 {
			t.Fatalf("started again as run %d while it runs", again[0].Start.Run)
		}
	}
}
