package dispatch_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// TestRunIsAdoptedAfterEndOfItsCopy guards against runs that no owner knows: of a speculative
// task a run goes on while its copy, with a higher number, has ended. A new owner that hears of
// the end first must still stop the run with its job, and count its capacity as used.
func TestRunIsAdoptedAfterEndOfItsCopy(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "job", step(1, 4, func(s *workload.Step) { s.Speculative = true }))
	first := r.plan()[0]
	r.flush()
	r.takeOver(worker(0), worker(1))
	copied := end(1, first, runner.EndFailed)
	copied.Run++
	r.report(otherWorker(first.Worker.ID), nil, []runner.RunEnd{copied})
	r.report(first.Worker.ID, []runner.ActiveRun{active(first)}, nil)
	if again := r.plan(); len(again) > 0 {
		t.Errorf("started again as run %d while it runs", again[0].Start.Run)
	}
	r.state.Cancel(r.now, "job")
	stops := r.state.Plan(r.now).Stops
	if len(stops) != 1 || stops[0].Stop.Run != first.Start.Run {
		t.Errorf("stops %+v, want one of run %d", stops, first.Start.Run)
	}
}
