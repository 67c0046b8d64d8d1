package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// crashUnder starts the only waiting task and crashes its worker before it reports
// the run. Another worker reports, so that the loss isn't taken for that of a rack.
func (r *rig) crashUnder(workers int) dispatch.StartOrder {
	r.t.Helper()
	var starts []dispatch.StartOrder
	for range 3 { // an inherited location and the start's own are stored first
		r.flush()
		if starts = r.plan(); len(starts) > 0 {
			break
		}
	}
	if len(starts) != 1 {
		r.t.Fatalf("%d starts, want one", len(starts))
	}
	crashed := starts[0].Worker.ID
	_, renewal, _ := r.state.Renewal(r.now, crashed, testLease)
	r.state.HandleReport(r.now, crashed, renewal, runner.Answer{Status: runner.Restarted}, runner.Report{})
	for i := range workers {
		if id := worker(i); id != crashed && r.state.HasWorker(id) {
			r.report(id, nil, nil)
		}
	}
	return starts[0]
}

// TestGivenUpReasonSurvivesOwner checks that crashes counted by one owner count for
// the next, and that every owner tells why a job was given up.
func TestGivenUpReasonSurvivesOwner(t *testing.T) {
	const workers = 6
	r := newRig(t, workers)
	r.submit(queueShort, "job", step(1, 4))
	crashed := map[string]bool{}
	for range 2 {
		crashed[r.crashUnder(workers).Worker.ID] = true
	}
	r.flush()
	r.takeOver()
	r.members(workers)
	for i := range workers {
		if id := worker(i); !crashed[id] {
			r.report(id, nil, nil)
		}
	}
	r.crashUnder(workers)
	r.flush()
	const want = "3 workers crashed under task job.0.0.0"
	for range 2 {
		r.wantState("job", workload.Failed)
		if got := r.state.FailureReason("job"); got != want {
			t.Errorf("failed because of %q, want %q", got, want)
		}
		r.takeOver()
	}
}

// TestHeldStartEndsWithItsJob checks that a start that waits for the store neither
// goes out nor keeps capacity once its job is cancelled.
func TestHeldStartEndsWithItsJob(t *testing.T) {
	const workers = 3
	r := newRig(t, workers)
	r.submit(queueShort, "job", step(1, 16))
	r.crashUnder(workers)
	r.flush()
	if held := r.plan(); len(held) != 0 {
		t.Fatalf("started %v before the loss was durable", held)
	}
	r.state.Cancel(r.now, "job")
	r.flush()
	if late := r.plan(); len(late) != 0 {
		t.Errorf("started %v of a cancelled job", late)
	}
	r.advance(testTick)
	r.submit(queueShort, "next", step(workers-1, 16))
	if got := len(r.plan()); got != workers-1 {
		t.Errorf("%d tasks that need a whole worker started, want %d", got, workers-1)
	}
}

// TestHeldStartWaitsForStore checks that a start that waits for the store goes out
// with a lease counted from then.
func TestHeldStartWaitsForStore(t *testing.T) {
	const workers = 3
	r := newRig(t, workers)
	r.submit(queueShort, "job", step(1, 4))
	first := r.crashUnder(workers)
	r.flush()
	r.plan()
	r.advance(10 * time.Second)
	for i := range workers {
		if id := worker(i); id != first.Worker.ID {
			r.report(id, nil, nil)
		}
	}
	if early := r.plan(); len(early) != 0 {
		t.Errorf("started %v before its location was durable", early)
	}
	r.flush()
	starts := r.plan()
	if len(starts) != 1 || starts[0].Start.LeaseUntil <= r.clock() {
		t.Errorf("got %v at %d ms, want a start with a lease", starts, r.clock())
	}
}
