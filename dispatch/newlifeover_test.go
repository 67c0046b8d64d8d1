package dispatch_test

import "testing"

// TestRunOfLifeWithoutReportStartsAgain guards against a job that stands still: a worker starts
// again twice in a short time, and the life between has only answered a start, which doesn't
// tell the incarnation. The next life was taken for it, as its clock shows more than that
// answer did, and its reports never list the run.
func TestRunOfLifeWithoutReportStartsAgain(t *testing.T) {
	first := newLifeRig(t)
	first.submit(queueShort, "job", step(1, 2))
	start := first.state.Plan(first.now).Starts[0]
	second := newTestLife(first.rig, 2)
	second.advance(testTick / 2)
	answer := second.startAnswer()
	third := newTestLife(first.rig, 3)
	third.advance(testTick)
	third.state.HandleStartAnswer(third.now, start, answer)
	again := 0
	for range 10 {
		third.poll()
		again += len(third.startAll())
	}
	if again != 1 {
		t.Errorf("the run was started %d times again after its life had ended, want once", again)
	}
}
