package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// TestFillersTakeWhatServingTasksLeave replays a burst of fillers on a worker
// whose serving tasks reserve 14 of 16 cores and use half of them, far below
// their target: three fillers of 4 cores run there, where two did while serving
// tasks were taken to use more and a filler waited for most of what it asks for.
func TestFillersTakeWhatServingTasksLeave(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "serving", step(2, 7, longRunning, func(s *workload.Step) {
		s.Image, s.TailTarget = "web", 50*time.Millisecond
	}))
	var at []runner.ActiveRun
	for _, o := range r.plan() {
		at = append(at, withTail(o, 5))
	}
	for range 10 {
		r.pass(500 * time.Millisecond)
		r.report(worker(0), at, nil)
	}
	r.submit(queueLong, "filling", step(6, 4, func(s *workload.Step) { s.BestEffort, s.Image = true, "plan" }))
	started := len(r.plan())
	if started != 3 {
		t.Errorf("%d fillers started, want 3", started)
	}
	r.state.AttributeTime(r.now)
	if sum := r.state.AttributeTime(r.now); sum.WaitingByCause[dispatch.NoProcessors] != 3 {
		t.Errorf("waiting by cause: %v, want the other 3 for processors", sum.WaitingByCause)
	}
}
