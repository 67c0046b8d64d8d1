package dispatch_test

import (
	"math"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// TestLostTaskStartsFirst guards against a long-running task that is lost and stands until the work
// of queues with a higher priority has started, in a full pool and at an owner that is short of
// processor.
func TestLostTaskStartsFirst(t *testing.T) {
	for name, visits := range map[string]int{"no limit": math.MaxInt, "short of processor": 1} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2)
			r.submit(queueLong, "watch", step(1, 8, longRunning))
			lost := r.plan()[0]
			r.submit(queueShort, "full", step(1, 16))
			full := r.plan()[0]
			for range int((testLease + time.Second) / testTick) {
				r.noAnswer(lost.Worker.ID)
				r.report(full.Worker.ID, []runner.ActiveRun{active(full)}, nil)
				r.advance(testTick)
				r.plan()
				r.flush()
			}
			r.submit(queueShort, "other", step(2, 16))
			r.report(full.Worker.ID, nil, []runner.RunEnd{end(1, full, runner.EndDone)})
			r.flush()
			limits := dispatch.PlanLimits{Starts: 1, Visits: visits, Lease: testLease}
			starts := r.state.PlanWithin(r.now, limits).Starts
			r.flush() // the location of a lost task is durable before it starts
			starts = append(starts, r.state.PlanWithin(r.now, limits).Starts...)
			if len(starts) != 1 || starts[0].Start.Task.Job != "watch" {
				t.Errorf("starts %+v, want the lost task", starts)
			}
		})
	}
}
