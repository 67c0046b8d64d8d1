package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// startBestEffort returns a rig with one worker, a serving run on it and a new
// best-effort run that saves no checkpoints.
func startBestEffort(t *testing.T) (r *rig, serving, bestEffort dispatch.StartOrder) {
	t.Helper()
	r = newRig(t, 1)
	r.submit(queueShort, "serving", step(1, 8, longRunning, func(s *workload.Step) {
		s.Image, s.TailTarget = "web", 50*time.Millisecond
	}))
	serving = r.plan()[0]
	for range 10 {
		r.advance(500 * time.Millisecond)
		r.report(worker(0), []runner.ActiveRun{withTail(serving, 13)}, nil)
		r.plan()
	}
	r.submit(queueLong, "batch", step(1, 1, func(s *workload.Step) { s.BestEffort, s.Image = true, "plan" }))
	starts := r.plan()
	if len(starts) != 1 {
		t.Fatalf("%d starts, want the best-effort task next to a task with slack", len(starts))
	}
	return r, serving, starts[0]
}

// withTail returns a report of a serving run with a tail in milliseconds.
func withTail(o dispatch.StartOrder, ms int64) runner.ActiveRun {
	a := active(o)
	a.Usage = ms
	return a
}

// halfDone returns a report of a run that is 60% done and uses one core.
func halfDone(o dispatch.StartOrder) runner.ActiveRun {
	return runner.ActiveRun{Task: o.Start.Task, Run: o.Start.Run, Percent: 60, Usage: 1000}
}

// orderedCPULimit plans and returns the CPU limit ordered, -1 if none.
func (r *rig) orderedCPULimit() int {
	p := r.state.Plan(r.now)
	if len(p.CPULimits) == 0 {
		return -1
	}
	return p.CPULimits[0].CPULimit.Percent
}

// pausedByTail is startBestEffort with the best-effort run paused because of a
// tail of 90 ms.
func pausedByTail(t *testing.T) (r *rig, serving, bestEffort dispatch.StartOrder) {
	t.Helper()
	r, serving, bestEffort = startBestEffort(t)
	r.advance(1500 * time.Millisecond)
	r.report(worker(0), []runner.ActiveRun{withTail(serving, 90), halfDone(bestEffort)}, nil)
	if got := r.orderedCPULimit(); got != 0 {
		t.Fatalf("CPU limit %d with a tail of 90 ms, want 0", got)
	}
	return r, serving, bestEffort
}

// TestBestEffortPausedAndResumed checks that a best-effort run without
// checkpoints is paused while a tail is over its target and resumed afterwards.
func TestBestEffortPausedAndResumed(t *testing.T) {
	r, serving, bestEffort := pausedByTail(t)
	resumed := -1
	for range 20 {
		r.advance(500 * time.Millisecond)
		r.report(worker(0), []runner.ActiveRun{withTail(serving, 13), halfDone(bestEffort)}, nil)
		if resumed = r.orderedCPULimit(); resumed >= 0 {
			break
		}
	}
	if resumed != 100 {
		t.Errorf("CPU limit %d after 10 s of short tails, want 100", resumed)
	}
}

// TestBestEffortResumesWithoutServing checks that a paused run is resumed when
// the serving task has ended, although no tail is reported any more.
func TestBestEffortResumesWithoutServing(t *testing.T) {
	r, serving, bestEffort := pausedByTail(t)
	r.state.Cancel(r.now, "serving")
	r.advance(time.Second)
	r.report(worker(0), []runner.ActiveRun{halfDone(bestEffort)}, []runner.RunEnd{end(1, serving, runner.EndStopped)})
	if got := r.orderedCPULimit(); got != 100 {
		t.Errorf("CPU limit %d without serving tasks, want 100", got)
	}
}

// TestLostCPULimitIsRetried checks that a CPU limit whose answer was lost is
// ordered until it is in force.
func TestLostCPULimitIsRetried(t *testing.T) {
	r, serving, bestEffort := startBestEffort(t)
	r.advance(1500 * time.Millisecond)
	report := func() {
		r.report(worker(0), []runner.ActiveRun{withTail(serving, 90), halfDone(bestEffort)}, nil)
	}
	report()
	p := r.state.Plan(r.now)
	if len(p.CPULimits) != 1 || p.CPULimits[0].CPULimit.Percent != 0 {
		t.Fatalf("CPU limits %+v with a tail of 90 ms, want the best-effort run paused", p.CPULimits)
	}
	r.state.HandleCPULimitAnswer(p.CPULimits[0], runner.Answer{Status: runner.Unknown})
	r.advance(400 * time.Millisecond)
	report()
	p = r.state.Plan(r.now)
	if len(p.CPULimits) != 1 || p.CPULimits[0].CPULimit.Percent != 0 {
		t.Fatalf("CPU limits %+v after a lost answer, want the pause again", p.CPULimits)
	}
	r.state.HandleCPULimitAnswer(p.CPULimits[0], runner.Answer{Status: runner.Done})
	r.advance(400 * time.Millisecond)
	report()
	if p = r.state.Plan(r.now); len(p.CPULimits) != 0 {
		t.Errorf("CPU limits %+v once the pause is in force, want none", p.CPULimits)
	}
}

// TestTakeOverResetsCPULimits checks that a new owner, which doesn't know the
// CPU limits ordered before, restores the full limit.
func TestTakeOverResetsCPULimits(t *testing.T) {
	r, serving, bestEffort := pausedByTail(t)
	r.flush()
	r.takeOver(worker(0))
	r.members(1)
	r.report(worker(0), []runner.ActiveRun{withTail(serving, 13), halfDone(bestEffort)}, nil)
	if got := r.orderedCPULimit(); got != 100 {
		t.Errorf("CPU limit %d ordered by the next owner, want 100", got)
	}
}

// TestTailDuringOutagePauses guards against a best-effort task that is stopped because of a
// long tail while the store is away: it couldn't start again until the store is back.
func TestTailDuringOutagePauses(t *testing.T) {
	for _, overdue := range []bool{false, true} {
		r, serving, bestEffort := startBestEffort(t)
		r.advance(1500 * time.Millisecond)
		begun := halfDone(bestEffort)
		begun.Percent = 10
		r.report(worker(0), []runner.ActiveRun{withTail(serving, 90), begun}, nil)
		r.state.SetCommitOverdue(overdue)
		p := r.state.Plan(r.now)
		if paused := len(p.CPULimits) == 1 && p.CPULimits[0].CPULimit.Percent == 0; paused != overdue || (len(p.Stops) == 0) != overdue {
			t.Errorf("commit overdue %v: %d stops, CPU limits %v; want it paused only then, else stopped", overdue, len(p.Stops), p.CPULimits)
		}
	}
}
