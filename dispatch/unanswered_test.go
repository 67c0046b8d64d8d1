package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// TestStoppedBeforeStartIsAnswered replays how workers lost room for good. A
// copy of a slow task was ordered, the first run finished, and the copy was
// stopped before its start had been answered. The start was then refused or got
// no answer. No end comes of a run that never was, so its reservation stayed:
// on a pool of 350 workers four to ten were each short of 4 to 9 cores half a
// minute later, and lasting tasks of lost workers found no room there.
func TestStoppedBeforeStartIsAnswered(t *testing.T) {
	for _, status := range []runner.Status{runner.NoCapacity, runner.Unhealthy, runner.Unknown} {
		t.Run(status.String(), func(t *testing.T) {
			r := newRig(t, 2)
			first, copied := r.stopCopyEarly()
			if resolve := r.state.HandleStartAnswer(r.now, copied, runner.Answer{Status: status}); resolve != (status == runner.Unknown) {
				t.Errorf("the worker must be asked what became of the start: %v", resolve)
			}
			r.pass(time.Second) // longer than any pause after a refusal
			r.report(first.Worker.ID, nil, nil)
			r.report(copied.Worker.ID, nil, nil)
			r.pass(time.Second)
			r.submit(queueShort, "whole", step(2, 16))
			if starts := r.plan(); len(starts) != 2 {
				t.Errorf("%d of 2 tasks that need a whole worker started, want both", len(starts))
			}
		})
	}
}

// TestStoppedRunIsStillThere keeps the room of such a run while its worker
// reports it at work, and stops it again.
func TestStoppedRunIsStillThere(t *testing.T) {
	r := newRig(t, 2)
	_, copied := r.stopCopyEarly()
	r.state.HandleStartAnswer(r.now, copied, runner.Answer{Status: runner.Unknown})
	r.pass(2 * time.Second)
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

// stopCopyEarly has a copy of a slow task ordered, and the first run finish
// before the copy's start is answered. It returns both starts.
func (r *rig) stopCopyEarly() (first, copied dispatch.StartOrder) {
	r.t.Helper()
	r.submit(queueShort, "slow", step(1, 4, func(s *workload.Step) { s.Speculative = true }))
	first = r.plan()[0]
	r.pass(3 * time.Second) // three times the estimate
	slow := active(first)
	slow.Percent = 1
	r.report(first.Worker.ID, []runner.ActiveRun{slow}, nil)
	r.report(other(first.Worker.ID), nil, nil)
	p := r.state.Plan(r.now)
	if len(p.Starts) != 1 {
		r.t.Fatalf("%d copies ordered, want 1", len(p.Starts))
	}
	r.report(first.Worker.ID, nil, []runner.RunEnd{end(1, first, runner.EndDone)})
	r.flush()
	if stops := r.state.Plan(r.now).Stops; len(stops) != 1 {
		r.t.Fatalf("%d stops, want that of the copy", len(stops))
	}
	return first, p.Starts[0]
}
