package dispatch_test

import (
	"slices"
	"testing"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// TestSkippedEndOfHeldRunIsRecorded guards against a job that stands still although the end of
// its run is listed: a worker that lists the newest ends first, in a list of the maximum
// length, made all older ones count as recorded.
func TestSkippedEndOfHeldRunIsRecorded(t *testing.T) {
	const tasks = runner.MaxEnds + 100
	life := newLifeRig(t)
	life.submit(queueShort, "job", step(tasks, 0, func(s *workload.Step) { s.Needs = infra.Resources{MilliCPU: 10, MemoryMB: 10} }))
	starts := life.startAll()
	if len(starts) != tasks {
		t.Fatalf("%d starts, want %d", len(starts), tasks)
	}
	for _, o := range starts {
		life.end(o, runner.EndDone)
	}
	for _, listed := range [][]runner.RunEnd{life.ends[tasks-runner.MaxEnds:], life.ends[:runner.MaxEnds]} {
		_, o, _ := life.state.Renewal(life.now, worker(0), testLease)
		life.state.HandleReport(life.now, worker(0), o, life.answer(runner.Done), runner.Report{ClockMS: life.clock(), Ends: slices.Clone(listed)})
		life.advance(testTick)
	}
	life.flush()
	life.wantState("job", workload.Complete)
}
