package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// copyInQueue plans a copy of a slow task, whose order is queued at the sender, and
// returns both starts.
func (r *rig) copyInQueue() (first, copied dispatch.StartOrder) {
	r.t.Helper()
	r.submit(queueShort, "slow", step(1, 4, func(s *workload.Step) { s.Speculative = true }))
	first = r.plan()[0]
	r.advance(3 * time.Second) // three times the estimate
	r.report(first.Worker.ID, []runner.ActiveRun{{Task: first.Start.Task, Run: first.Start.Run, Percent: 1}}, nil)
	r.report(otherWorker(first.Worker.ID), nil, nil)
	p := r.state.Plan(r.now)
	if len(p.Starts) != 1 {
		r.t.Fatalf("%d copies ordered, want 1", len(p.Starts))
	}
	p.Starts[0].Sending.Queue()
	return first, p.Starts[0]
}

// TestQueuedStartIsWithdrawn guards against a start that is sent, or keeps its
// reservation, though its run lost its reason while it was queued.
func TestQueuedStartIsWithdrawn(t *testing.T) {
	for name, end := range map[string]func(r *rig, first dispatch.StartOrder){
		"job cancelled": func(r *rig, first dispatch.StartOrder) {
			r.state.Cancel(r.now, "slow")
			r.report(first.Worker.ID, nil, []runner.RunEnd{end(1, first, runner.EndStopped)})
		},
		"task done": func(r *rig, first dispatch.StartOrder) {
			r.report(first.Worker.ID, nil, []runner.RunEnd{end(1, first, runner.EndDone)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2)
			first, copied := r.copyInQueue()
			end(r, first)
			if copied.Sending.Begin() {
				t.Error("the start may still be sent")
			}
			for _, stop := range r.state.Plan(r.now).Stops {
				if stop.Stop.Run == copied.Start.Run {
					t.Errorf("got stop %+v of a run whose start was never sent", stop)
				}
			}
			r.flush()
			r.submit(queueShort, "whole", step(2, 16))
			if starts := r.plan(); len(starts) != 2 {
				t.Errorf("%d of 2 tasks that need a whole worker started, want both", len(starts))
			}
			r.state.HandleStartAnswer(r.now, copied, runner.Answer{Status: runner.Fenced})
			r.flush()
			r.submit(queueShort, "none", step(1, 4))
			if starts := r.plan(); len(starts) != 0 {
				t.Errorf("started %v on full workers after the withdrawn start's answer", starts)
			}
		})
	}
}

// TestSentStartIsStopped guards against a start that may have been sent and is taken for
// withdrawn: its run would go on.
func TestSentStartIsStopped(t *testing.T) {
	r := newRig(t, 2)
	first, copied := r.copyInQueue()
	if !copied.Sending.Begin() {
		t.Fatal("a start that nobody withdrew can't be sent")
	}
	r.report(first.Worker.ID, nil, []runner.RunEnd{end(1, first, runner.EndDone)})
	if stops := r.state.Plan(r.now).Stops; len(stops) != 1 || stops[0].Stop.Run != copied.Start.Run {
		t.Errorf("got stops %v, want one of run %d", stops, copied.Start.Run)
	}
	r.submit(queueShort, "whole", step(2, 16))
	if starts := r.plan(); len(starts) != 1 {
		t.Errorf("%d tasks that need a whole worker started, want one while the copy may run", len(starts))
	}
}

// TestQueuedStartIsSentToLeavingWorker guards against a start that is queued when its
// worker begins to drain, or its entry in the membership list ends, and is sent there.
func TestQueuedStartIsSentToLeavingWorker(t *testing.T) {
	for name, leave := range map[string]func(w *runner.Worker){
		"draining":     func(w *runner.Worker) { w.Draining, w.LeavesIn = true, 10*time.Second },
		"malformed":    func(w *runner.Worker) { w.Malformed = true },
		"another pool": func(w *runner.Worker) { w.Pool = "elsewhere" },
		"not listed":   func(w *runner.Worker) { w.ID = "new" },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2)
			r.submit(queueShort, "job", step(1, 4))
			start := r.state.Plan(r.now).Starts[0]
			start.Sending.Queue()
			stays, leaves := workerInfo(otherWorker(start.Worker.ID)), start.Worker
			leave(&leaves)
			r.state.SetMembers(r.now, []runner.Worker{stays, leaves})
			if start.Sending.Begin() {
				t.Error("the start may still be sent")
			}
			r.flush()
			if starts := r.plan(); len(starts) != 1 || starts[0].Worker.ID != stays.ID {
				t.Errorf("got starts %v, want one on the worker that stays", starts)
			}
		})
	}
}
