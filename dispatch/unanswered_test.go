package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// TestStopBeforeStartAnswer checks that the reservation of a run is released if
// it was stopped before its start was refused or timed out. Such a run reports
// no end.
func TestStopBeforeStartAnswer(t *testing.T) {
	for _, status := range []runner.Status{runner.NoCapacity, runner.Unhealthy, runner.Unknown} {
		t.Run(status.String(), func(t *testing.T) {
			r := newRig(t, 2)
			first, copied := r.stopCopyEarly()
			if resolve := r.state.HandleStartAnswer(r.now, copied, runner.Answer{Status: status}); resolve != (status == runner.Unknown) {
				t.Errorf("HandleStartAnswer returned %v for this status", resolve)
			}
			r.advance(time.Second) // longer than any pause after a refusal
			r.report(first.Worker.ID, nil, nil)
			r.report(copied.Worker.ID, nil, nil)
			r.advance(time.Second)
			r.submit(queueShort, "whole", step(2, 16))
			if starts := r.plan(); len(starts) != 2 {
				t.Errorf("%d of 2 tasks that need a whole worker started, want both", len(starts))
			}
		})
	}
}

// TestStoppedRunStillReported checks that a run that was stopped before its
// start timed out keeps its reservation while its worker reports it, and is
// stopped again.
func TestStoppedRunStillReported(t *testing.T) {
	r := newRig(t, 2)
	_, copied := r.stopCopyEarly()
	r.state.HandleStartAnswer(r.now, copied, runner.Answer{Status: runner.Unknown})
	r.advance(2 * time.Second)
	r.report(copied.Worker.ID, []runner.ActiveRun{active(copied)}, nil)
	r.submit(queueShort, "whole", step(2, 16))
	p := r.state.Plan(r.now)
	if len(p.Starts) != 1 || p.Starts[0].Worker.ID == copied.Worker.ID {
		t.Errorf("got starts %v, want one, on the other worker", p.Starts)
	}
	if len(p.Stops) != 1 || p.Stops[0].Stop.Run != copied.Start.Run {
		t.Errorf("got stops %v, want one of run %d", p.Stops, copied.Start.Run)
	}
}

// stopCopyEarly orders a copy of a slow task and ends the first run, so that the
// copy is ordered to stop before its start is answered. It returns both starts.
func (r *rig) stopCopyEarly() (first, copied dispatch.StartOrder) {
	r.t.Helper()
	r.submit(queueShort, "slow", step(1, 4, func(s *workload.Step) { s.Speculative = true }))
	first = r.plan()[0]
	r.advance(3 * time.Second) // three times the estimate
	slow := active(first)
	slow.Percent = 1
	r.report(first.Worker.ID, []runner.ActiveRun{slow}, nil)
	r.report(otherWorker(first.Worker.ID), nil, nil)
	p := r.state.Plan(r.now)
	if len(p.Starts) != 1 {
		r.t.Fatalf("%d copies ordered, want 1", len(p.Starts))
	}
	r.report(first.Worker.ID, nil, []runner.RunEnd{end(1, first, runner.EndDone)})
	r.flush()
	if stops := r.state.Plan(r.now).Stops; len(stops) != 1 {
		r.t.Fatalf("%d stops, want one of the copy", len(stops))
	}
	return first, p.Starts[0]
}

// TestReportedRunStartsJob guards against a job that is shown as queued while its
// tasks run, because no answer to their starts arrived.
func TestReportedRunStartsJob(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "job", step(1, 4))
	first := r.state.Plan(r.now).Starts[0]
	r.state.HandleStartAnswer(r.now, first, runner.Answer{Status: runner.Unknown})
	r.report(worker(0), []runner.ActiveRun{active(first)}, nil)
	r.flush()
	r.wantState("job", workload.InProgress)
}
