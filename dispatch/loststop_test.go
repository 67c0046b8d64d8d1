package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// TestLostStopIsOrderedAgain replays how a run that was to stop went on for
// good. Its stop got no answer, or was refused since the worker's fencing token
// had risen meanwhile. Only runs of jobs and tasks that were over were ordered to
// stop again. A filler went on beside the tail that it made too long, and wasn't
// even seen as disturbing any more; a duplicate ran beside its twin; a long-running
// task stayed on a worker that was about to leave.
func TestLostStopIsOrderedAgain(t *testing.T) {
	for cause, stopped := range map[dispatch.StopCause]func(*testing.T) (*rig, dispatch.StartOrder, *dispatch.StopOrder){
		dispatch.WorkerDraining: onLeavingWorker,
		dispatch.TailTooLong:    besideTailTooLong,
		dispatch.Preempted:      beforeUrgentWork,
		dispatch.Duplicate:      besideTwin,
	} {
		for _, status := range []runner.Status{runner.Unknown, runner.Fenced, runner.Unhealthy} {
			t.Run(cause.String()+"/"+status.String(), func(t *testing.T) {
				r, victim, first := stopped(t)
				if first == nil || first.Cause != cause {
					t.Fatalf("got stop %+v, want one for %v", first, cause)
				}
				r.state.HandleStopAnswer(r.now, *first, runner.Answer{Status: status})
				r.pass(1500 * time.Millisecond)
				r.report(victim.Worker.ID, []runner.ActiveRun{halfDone(victim)}, nil)
				if again := r.stopOf(victim); again == nil || again.Cause != cause {
					t.Errorf("got stop %+v after the first was lost, want one for %v", again, cause)
				}
			})
		}
	}
}

// TestStopUnderWayIsNotRepeated leaves a stop that was just ordered its time.
func TestStopUnderWayIsNotRepeated(t *testing.T) {
	r, victim, first := onLeavingWorker(t)
	if first == nil {
		t.Fatal("no stop")
	}
	r.pass(300 * time.Millisecond)
	r.report(victim.Worker.ID, []runner.ActiveRun{active(victim)}, nil)
	if again := r.stopOf(victim); again != nil {
		t.Errorf("got stop %+v while the first is under way", again)
	}
}

// stopOf plans and returns the stop of a run, nil if there is none.
func (r *rig) stopOf(victim dispatch.StartOrder) *dispatch.StopOrder {
	for _, o := range r.state.Plan(r.now).Stops {
		if o.Stop.Run == victim.Start.Run && o.Worker.ID == victim.Worker.ID {
			return &o
		}
	}
	return nil
}

// onLeavingWorker has a long-running task on a worker that drains.
func onLeavingWorker(t *testing.T) (*rig, dispatch.StartOrder, *dispatch.StopOrder) {
	t.Helper()
	r := newRig(t, 1)
	r.submit(queueShort, "forever", step(1, 4, longRunning))
	victim := r.plan()[0]
	leaving := workerInfo(worker(0))
	leaving.Draining, leaving.LeavesIn = true, 10*time.Second
	r.state.SetMembers(r.now, []runner.Worker{leaving})
	return r, victim, r.stopOf(victim)
}

// besideTailTooLong has a filler beside a serving task whose tail has been over
// its target for too long.
func besideTailTooLong(t *testing.T) (*rig, dispatch.StartOrder, *dispatch.StopOrder) {
	t.Helper()
	r, serving, filler := besideServing(t)
	for range 60 {
		r.pass(testTick)
		r.report(worker(0), []runner.ActiveRun{withTail(serving, 400), {Task: filler.Start.Task, Run: filler.Start.Run, Percent: 10, Usage: 1000}}, nil)
		if stop := r.stopOf(filler); stop != nil {
			return r, filler, stop
		}
	}
	return r, filler, nil
}

// beforeUrgentWork has a task that fills a worker and must give way.
func beforeUrgentWork(t *testing.T) (*rig, dispatch.StartOrder, *dispatch.StopOrder) {
	t.Helper()
	r := newRig(t, 1)
	r.submit(queueLong, "later", step(1, 16))
	victim := r.plan()[0]
	r.report(worker(0), []runner.ActiveRun{halfDone(victim)}, nil)
	r.submit(queueShort, "urgent", step(1, 16))
	r.plan()
	r.pass(200 * time.Millisecond)
	return r, victim, r.stopOf(victim)
}

// besideTwin has a run that is found beside another of its task.
func besideTwin(t *testing.T) (*rig, dispatch.StartOrder, *dispatch.StopOrder) {
	t.Helper()
	r := newRig(t, 2)
	r.submit(queueShort, "forever", step(1, 4, longRunning))
	first := r.plan()[0]
	twin := first
	twin.Worker = workerInfo(other(first.Worker.ID))
	twin.Start.Run++
	r.report(twin.Worker.ID, []runner.ActiveRun{active(twin)}, nil)
	return r, twin, r.stopOf(twin)
}
