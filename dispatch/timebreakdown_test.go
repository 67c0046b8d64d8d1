package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/queue"
	"github.com/fireflygate/fireflygate/runner"
)

// TestTimeBreakdown checks the breakdown of a job that waits for capacity and
// then runs.
func TestTimeBreakdown(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "first", step(1, 16))
	r.submit(queueShort, "second", step(1, 16))
	r.state.AttributeTime(r.now)
	first := r.plan()[0]
	advance := func(seconds int, active []runner.ActiveRun) {
		for range seconds {
			r.advance(time.Second)
			r.report(first.Worker.ID, active, nil)
			r.state.AttributeTime(r.now)
		}
	}
	advance(2, []runner.ActiveRun{active(first)})
	r.report(first.Worker.ID, nil, []runner.RunEnd{end(1, first, runner.EndDone)})
	second := r.plan()[0]
	advance(3, []runner.ActiveRun{active(second)})
	r.report(second.Worker.ID, nil, []runner.RunEnd{end(2, second, runner.EndDone)})
	outcomes := r.state.TakeJobOutcomes()
	if len(outcomes) != 2 {
		t.Fatalf("%d outcomes, want 2: %+v", len(outcomes), outcomes)
	}
	breakdown := outcomes[1].TimeBreakdown
	if breakdown.Waited[dispatch.NoProcessors] != 2*time.Second || breakdown.Running != 3*time.Second || breakdown.Starts != 1 {
		t.Errorf("breakdown %+v, want 2 s waiting for processors, 3 s running and one start", breakdown)
	}
	if outcomes[0].Timeliness != queue.Late || outcomes[1].Timeliness != queue.Late || outcomes[1].CoreMS != 16_000 {
		t.Errorf("got %+v, want both late and 16 core-seconds", outcomes)
	}
}

// TestExpiredJobIsReportedOnce checks that a job that expires while waiting is
// reported once, also after it is cancelled.
func TestExpiredJobIsReportedOnce(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "too large", step(1, 17))
	for range 20 {
		r.state.AttributeTime(r.now)
		r.advance(time.Second)
	}
	r.state.Cancel(r.now, "too large")
	outcomes := r.state.TakeJobOutcomes()
	if len(outcomes) != 1 || outcomes[0].Timeliness != queue.Expired {
		t.Fatalf("outcomes %+v, want one, as expired", outcomes)
	}
	if waited := outcomes[0].TimeBreakdown.Waited[dispatch.NoProcessors]; waited < 4*time.Second || waited > 6*time.Second {
		t.Errorf("it waited %v until it expired, want about 5 s", waited)
	}
}
