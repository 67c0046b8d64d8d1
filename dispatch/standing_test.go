package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// standingWithin summarizes the domain each second until a task is reported to stand, for at most
// a time, and returns the reports.
func (r *rig) standingWithin(d time.Duration, each func()) []dispatch.StandingTask {
	r.t.Helper()
	for end := r.now.Add(d); r.now.Before(end); r.advance(testTick) {
		each()
		r.plan()
		r.state.AttributeTime(r.now)
		if found := r.state.TakeStandingTasks(); len(found.Standing) > 0 {
			return found.Standing
		}
	}
	r.t.Fatalf("no task is reported to stand within %v", d)
	return nil
}

// TestStandingTaskNamesItsLease guards against a long-running task that stands still while no
// log line tells whose leases it waits for.
func TestStandingTaskNamesItsLease(t *testing.T) {
	r, silent := newSilentRig(t)
	found := r.standingWithin(testLease, func() { r.noAnswer(silent) })
	if s := found[0]; s.Check != dispatch.CheckLease || s.Worker != silent || s.Left <= 0 || len(s.Epochs) != 1 || s.Epochs[0] != 1 {
		t.Errorf("the task stands by %+v, want the lease of %s from epoch 1", s, silent)
	}
}

// TestStandingTaskNamesInheritedLease guards against the same under the next owner.
func TestStandingTaskNamesInheritedLease(t *testing.T) {
	r, silent := newSilentRig(t)
	r.takeOver(worker(0), worker(1))
	r.members(2)
	r.report(otherWorker(silent), nil, nil)
	found := r.standingWithin(testLease, func() { r.noAnswer(silent) })
	if s := found[0]; s.Check != dispatch.CheckInheritedLease || s.Worker != silent || s.Left <= 0 || len(s.Epochs) != 1 || s.Epochs[0] != 1 {
		t.Errorf("the task stands by %+v, want the lease of %s from epoch 1", s, silent)
	}
}

// TestStandingTaskNamesMissingProcessors guards against a task that waits in a full pool and
// looks as if it waited for leases, and against one of which no line tells that it runs again.
func TestStandingTaskNamesMissingProcessors(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "first", step(1, 12, longRunning))
	first := r.plan()[0]
	r.submit(queueShort, "job", step(1, 8, longRunning))
	found := r.standingWithin(testLease, func() { r.report(worker(0), []runner.ActiveRun{active(first)}, nil) })
	if s := found[0]; s.Check != dispatch.StandingCheck(dispatch.NoProcessors.String()) {
		t.Errorf("the task stands by %+v, want the processors", s)
	}
	r.state.Cancel(r.now, "first")
	r.report(worker(0), nil, []runner.RunEnd{end(1, first, runner.EndStopped)})
	starts := r.plan()
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	r.report(worker(0), []runner.ActiveRun{active(starts[0])}, nil)
	r.state.AttributeTime(r.now)
	if found := r.state.TakeStandingTasks(); len(found.Resumed) != 1 || found.Resumed[0].Run != starts[0].Start.Run {
		t.Errorf("found %+v, want the task to run again", found)
	}
}
