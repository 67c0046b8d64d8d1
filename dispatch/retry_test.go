package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

// TestWaitingTaskStartsOnFreedCapacity checks that a task that fitted nowhere
// starts in the cycle after a run ends.
func TestWaitingTaskStartsOnFreedCapacity(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "full", step(2, 16))
	full := r.plan()
	if len(full) != 2 {
		t.Fatalf("%d starts, want both workers filled", len(full))
	}
	r.submit(queueShort, "waits", step(1, 16))
	r.advance(10 * time.Millisecond)
	if got := r.plan(); len(got) != 0 {
		t.Fatalf("started %v on full workers", got)
	}
	r.advance(10 * time.Millisecond)
	r.report(full[1].Worker.ID, nil, []runner.RunEnd{end(1, full[1], runner.EndDone)})
	got := r.plan()
	if len(got) != 1 || got[0].Worker.ID != full[1].Worker.ID {
		t.Errorf("started %v, want one on the freed worker", got)
	}
}

// TestWaitingTaskStartsAfterRefusalPause checks that a worker that refused a
// start for lack of capacity gets the task after its pause, without a report.
func TestWaitingTaskStartsAfterRefusalPause(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "refused", step(1, 4))
	p := r.state.Plan(r.now)
	if len(p.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(p.Starts))
	}
	r.state.HandleStartAnswer(r.now, p.Starts[0], runner.Answer{Status: runner.NoCapacity, ClockMS: r.clock()})
	for waited := time.Duration(0); waited < time.Second; waited += testTick {
		if len(r.plan()) > 0 {
			return
		}
		r.advance(testTick)
	}
	t.Error("not started within a second of the refusal")
}
