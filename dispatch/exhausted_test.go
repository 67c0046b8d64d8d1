package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// TestHeldTaskIsGivenUpWhileOwnersChange guards against a task whose crashes aren't certain
// and that is started again, or held anew, by each owner that takes the domain over.
func TestHeldTaskIsGivenUpWhileOwnersChange(t *testing.T) {
	const (
		crashes = 4
		// lossAfter is the time from a crash until the worker's lease is over.
		lossAfter = 9 * time.Second
		// hold is how long the task is held, ownerTime the time between two owners.
		hold      = 6 * time.Second
		ownerTime = 3 * time.Second
	)
	s := newCrashSim(t, 1, 8)
	starts := 0
	s.started = func(w *faultWorker, _ workload.TaskID) {
		starts++
		s.after(reportedAfter, func() { w.terminate(s.now, false) }) // for good
	}
	s.accept(queueShort, "job", step(1, 2, func(st *workload.Step) { st.Estimate = time.Hour }))
	for starts < crashes {
		s.watch(time.Second)
	}
	s.watch(reportedAfter + lossAfter)
	for range hold/ownerTime + 1 {
		s.replaceOwner()
		s.watch(ownerTime)
	}
	s.wantEnd("job", workload.Failed)
	if starts != crashes {
		t.Errorf("%d starts, want %d", starts, crashes)
	}
}
