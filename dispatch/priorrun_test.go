package dispatch_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// TestStartTellsWhyTheRunBeforeIsOver checks the evidence that a start order carries.
func TestStartTellsWhyTheRunBeforeIsOver(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "a", step(1, 1))
	first := r.plan()[0]
	if first.Prior.Evidence != dispatch.NoPriorRun {
		t.Errorf("the first start names %v as evidence, want none", first.Prior.Evidence)
	}
	r.state.HandleStartAnswer(r.now, first, runner.Answer{Status: runner.Done, ClockMS: r.clock()})
	r.flush()
	second := r.restartAfterSilence(first.Worker.ID)
	p := second.Prior
	if p.Evidence != dispatch.WorkerLeaseExpired || p.Worker != first.Worker.ID || p.Run != first.Start.Run {
		t.Errorf("the second start names %+v, want the expired lease of %s and run %d", p, first.Worker.ID, first.Start.Run)
	}
}

// restartAfterSilence leaves a worker unanswered until another start is ordered.
func (r *rig) restartAfterSilence(silent string) dispatch.StartOrder {
	r.t.Helper()
	for range 200 {
		r.advance(testTick)
		r.state.EachWorker("", func(id string) bool {
			if id == silent {
				r.noAnswer(id)
			} else {
				r.report(id, nil, nil)
			}
			return true
		})
		starts := r.state.Plan(r.now).Starts
		r.flush()
		if len(starts) > 0 {
			return starts[0]
		}
	}
	r.t.Fatal("the task wasn't started again")
	return dispatch.StartOrder{}
}
