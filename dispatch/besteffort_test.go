package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// TestBestEffortUsesIdleProcessors checks that best-effort tasks use the
// reserved but idle processors of serving tasks that are far below their
// target.
func TestBestEffortUsesIdleProcessors(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "serving", step(2, 7, longRunning, func(s *workload.Step) {
		s.Image, s.TailTarget = "web", 50*time.Millisecond
	}))
	var runs []runner.ActiveRun
	for _, o := range r.plan() {
		runs = append(runs, withTail(o, 5))
	}
	for range 10 {
		r.advance(500 * time.Millisecond)
		r.report(worker(0), runs, nil)
	}
	r.submit(queueLong, "batch", step(6, 4, func(s *workload.Step) { s.BestEffort, s.Image = true, "plan" }))
	started := len(r.plan())
	if started != 3 {
		t.Errorf("%d best-effort tasks started, want 3", started)
	}
	r.state.AttributeTime(r.now)
	if sum := r.state.AttributeTime(r.now); sum.WaitingByCause[dispatch.NoProcessors] != 3 {
		t.Errorf("waiting by cause: %v, want the other 3 for lack of processors", sum.WaitingByCause)
	}
}
