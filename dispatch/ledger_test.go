package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/queue"
	"github.com/fireflygate/fireflygate/runner"
)

// TestLedger books the life of a job that waits for room and then runs, and
// tells of it at its end.
func TestLedger(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "first", step(1, 16))
	r.submit(queueShort, "second", step(1, 16))
	r.state.AttributeTime(r.now)
	first := r.plan()[0]
	account := func(seconds int, active []runner.ActiveRun) {
		for range seconds {
			r.pass(time.Second)
			r.report(first.Worker.ID, active, nil)
			r.state.AttributeTime(r.now)
		}
	}
	account(2, []runner.ActiveRun{active(first)})
	r.report(first.Worker.ID, nil, []runner.RunEnd{end(1, first, runner.EndDone)})
	second := r.plan()[0]
	account(3, []runner.ActiveRun{active(second)})
	r.report(second.Worker.ID, nil, []runner.RunEnd{end(2, second, runner.EndDone)})
	over := r.state.TakeJobOutcomes()
	if len(over) != 2 {
		t.Fatalf("%d jobs told of, want 2: %+v", len(over), over)
	}
	l := over[1].TimeBreakdown
	if l.Waited[dispatch.NoProcessors] != 2*time.Second || l.Running != 3*time.Second || l.Starts != 1 {
		t.Errorf("booked %+v, want 2 s without processors, 3 s at work and one start", l)
	}
	if over[0].Timeliness != queue.Late || over[1].Timeliness != queue.Late || over[1].CoreMS != 16_000 {
		t.Errorf("got %+v, want both late and 16 core-seconds", over)
	}
}

// TestLedgerTellsOfLostJobs tells once of a job that waits past its use.
func TestLedgerTellsOfLostJobs(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "too large", step(1, 17))
	for range 20 {
		r.state.AttributeTime(r.now)
		r.pass(time.Second)
	}
	r.state.Cancel(r.now, "too large")
	over := r.state.TakeJobOutcomes()
	if len(over) != 1 || over[0].Timeliness != queue.Expired {
		t.Fatalf("told of %+v, want once, as lost", over)
	}
	if waited := over[0].TimeBreakdown.Waited[dispatch.NoProcessors]; waited < 4*time.Second || waited > 6*time.Second {
		t.Errorf("it waited %v until it was lost, want about 5 s", waited)
	}
}
