package dispatch_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// TestGangStartsWholeAfterOneLoss guards against a gang of which some members start and wait
// for those whose starts are held, after one member's worker was lost.
func TestGangStartsWholeAfterOneLoss(t *testing.T) {
	r := newRig(t, 4)
	r.submit(queueShort, "job", step(2, 16, func(s *workload.Step) { s.Gang, s.Estimate = true, longTask }))
	starts := r.plan()
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	r.flush()
	for range int(provenAge/testTick) + 1 { // the loss isn't blamed on the gang
		r.advance(testTick)
		for i := range 4 {
			r.report(worker(i), activeOn(worker(i), starts), nil)
		}
	}
	r.state.HandleRestart(r.now, starts[0].Worker.ID)
	r.report(starts[1].Worker.ID, nil, []runner.RunEnd{end(1, starts[1], runner.EndGangBroken)})
	r.flush()
	started := 0
	for range 3 { // the rows forget the old locations, then hold the new ones
		n := len(r.plan())
		if n == 1 {
			t.Error("one of two members started, want both or none until their locations are durable")
		}
		started += n
		r.flush()
	}
	if started != 2 {
		t.Errorf("%d members started once the locations are durable, want 2", started)
	}
}

// activeOn returns the report of the started runs on a worker.
func activeOn(id string, starts []dispatch.StartOrder) []runner.ActiveRun {
	var all []runner.ActiveRun
	for _, o := range starts {
		if o.Worker.ID == id {
			all = append(all, active(o))
		}
	}
	return all
}
