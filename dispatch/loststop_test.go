package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// TestLostStopIsRetried checks that a stop without an answer, or refused
// because of a newer fencing token, is ordered again for every cause. Otherwise
// the run would go on.
func TestLostStopIsRetried(t *testing.T) {
	for cause, stopped := range map[dispatch.StopCause]func(*testing.T) (*rig, dispatch.StartOrder, *dispatch.StopOrder){
		dispatch.WorkerDraining: stopForDrain,
		dispatch.TailTooLong:    stopForTail,
		dispatch.Preempted:      stopForPreemption,
		dispatch.Duplicate:      stopForDuplicate,
	} {
		for _, status := range []runner.Status{runner.Unknown, runner.Fenced, runner.Unhealthy} {
			t.Run(cause.String()+"/"+status.String(), func(t *testing.T) {
				r, victim, first := stopped(t)
				if first == nil || first.Cause != cause {
					t.Fatalf("got stop %+v, want one for %v", first, cause)
				}
				r.state.HandleStopAnswer(r.now, *first, runner.Answer{Status: status})
				r.advance(1500 * time.Millisecond)
				r.report(victim.Worker.ID, []runner.ActiveRun{halfDone(victim)}, nil)
				if again := r.stopOf(victim); again == nil || again.Cause != cause {
					t.Errorf("got stop %+v after the first was lost, want one for %v", again, cause)
				}
			})
		}
	}
}

// TestStopInFlightIsNotRetried checks that a recent stop isn't repeated.
func TestStopInFlightIsNotRetried(t *testing.T) {
	r, victim, first := stopForDrain(t)
	if first == nil {
		t.Fatal("no stop")
	}
	r.advance(300 * time.Millisecond)
	r.report(victim.Worker.ID, []runner.ActiveRun{active(victim)}, nil)
	if again := r.stopOf(victim); again != nil {
		t.Errorf("got stop %+v while the first is in flight", again)
	}
}

// stopOf plans and returns the stop of a run, or nil if there is none.
func (r *rig) stopOf(victim dispatch.StartOrder) *dispatch.StopOrder {
	for _, o := range r.state.Plan(r.now).Stops {
		if o.Stop.Run == victim.Start.Run && o.Worker.ID == victim.Worker.ID {
			return &o
		}
	}
	return nil
}

// stopForDrain returns a long-running run on a draining worker, and its
// stop order.
func stopForDrain(t *testing.T) (*rig, dispatch.StartOrder, *dispatch.StopOrder) {
	t.Helper()
	r := newRig(t, 1)
	r.submit(queueShort, "forever", step(1, 4, longRunning))
	victim := r.plan()[0]
	leaving := workerInfo(worker(0))
	leaving.Draining, leaving.LeavesIn = true, 10*time.Second
	r.state.SetMembers(r.now, []runner.Worker{leaving})
	return r, victim, r.stopOf(victim)
}

// stopForTail returns a best-effort run next to a serving task whose tail has
// been over its target for too long, and its stop order.
func stopForTail(t *testing.T) (*rig, dispatch.StartOrder, *dispatch.StopOrder) {
	t.Helper()
	r, serving, bestEffort := startBestEffort(t)
	for range 60 {
		r.advance(testTick)
		r.report(worker(0), []runner.ActiveRun{withTail(serving, 400), {Task: bestEffort.Start.Task, Run: bestEffort.Start.Run, Percent: 10, Usage: 1000}}, nil)
		if stop := r.stopOf(bestEffort); stop != nil {
			return r, bestEffort, stop
		}
	}
	return r, bestEffort, nil
}

// stopForPreemption returns a run preempted by a queue of higher priority, and
// its stop.
func stopForPreemption(t *testing.T) (*rig, dispatch.StartOrder, *dispatch.StopOrder) {
	t.Helper()
	r := newRig(t, 1)
	r.submit(queueLong, "later", step(1, 16))
	victim := r.plan()[0]
	r.report(worker(0), []runner.ActiveRun{halfDone(victim)}, nil)
	r.submit(queueShort, "urgent", step(1, 16))
	r.plan()
	r.advance(200 * time.Millisecond)
	return r, victim, r.stopOf(victim)
}

// stopForDuplicate returns a reported run whose task already has another run,
// and its stop.
func stopForDuplicate(t *testing.T) (*rig, dispatch.StartOrder, *dispatch.StopOrder) {
	t.Helper()
	r := newRig(t, 2)
	r.submit(queueShort, "forever", step(1, 4, longRunning))
	first := r.plan()[0]
	duplicate := first
	duplicate.Worker = workerInfo(otherWorker(first.Worker.ID))
	duplicate.Start.Run++
	r.report(duplicate.Worker.ID, []runner.ActiveRun{active(duplicate)}, nil)
	return r, duplicate, r.stopOf(duplicate)
}
