package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// besideServing returns a rig with one worker, a serving task at work there and
// a filler beside it that can't save and is past its half.
func besideServing(t *testing.T) (r *rig, serving, filler dispatch.StartOrder) {
	t.Helper()
	r = newRig(t, 1)
	r.submit(queueShort, "serving", step(1, 8, longRunning, func(s *workload.Step) {
		s.Image, s.TailTarget = "web", 50*time.Millisecond
	}))
	serving = r.plan()[0]
	for range 10 {
		r.pass(500 * time.Millisecond)
		r.report(worker(0), []runner.ActiveRun{withTail(serving, 13)}, nil)
		r.plan()
	}
	r.submit(queueLong, "filling", step(1, 1, func(s *workload.Step) { s.BestEffort, s.Image = true, "plan" }))
	starts := r.plan()
	if len(starts) != 1 {
		t.Fatalf("%d starts, want the filler beside a task with slack to spare", len(starts))
	}
	return r, serving, starts[0]
}

// withTail is a serving run whose tail is so many milliseconds.
func withTail(o dispatch.StartOrder, ms int64) runner.ActiveRun {
	a := active(o)
	a.Usage = ms
	return a
}

// halfDone is a filling run past its half that uses a core.
func halfDone(o dispatch.StartOrder) runner.ActiveRun {
	return runner.ActiveRun{Task: o.Start.Task, Run: o.Start.Run, Percent: 60, Usage: 1000}
}

// paceOf plans and returns the pace that is ordered, -1 if none is.
func (r *rig) paceOf() int {
	p := r.state.Plan(r.now)
	if len(p.CPULimits) == 0 {
		return -1
	}
	return p.CPULimits[0].CPULimit.Percent
}

// besideLongTail is besideServing with the filler paused for a tail of 90 ms.
func besideLongTail(t *testing.T) (r *rig, serving, filler dispatch.StartOrder) {
	t.Helper()
	r, serving, filler = besideServing(t)
	r.pass(1500 * time.Millisecond)
	r.report(worker(0), []runner.ActiveRun{withTail(serving, 90), halfDone(filler)}, nil)
	if got := r.paceOf(); got != 0 {
		t.Fatalf("pace %d beside a tail of 90 ms, want 0", got)
	}
	return r, serving, filler
}

// TestFillerSlowedAndResumed pauses a filler that can't save beside a tail
// over its target and resumes it once the tail is short again.
func TestFillerSlowedAndResumed(t *testing.T) {
	r, serving, filler := besideLongTail(t)
	resumed := -1
	for range 20 {
		r.pass(500 * time.Millisecond)
		r.report(worker(0), []runner.ActiveRun{withTail(serving, 13), halfDone(filler)}, nil)
		if resumed = r.paceOf(); resumed >= 0 {
			break
		}
	}
	if resumed != 100 {
		t.Errorf("pace %d after 10 s of short tails, want 100", resumed)
	}
}

// TestSlowedFillerGoesOnWithoutServing resumes a filler when those it was
// slowed for are gone, although no tail is reported any more.
func TestSlowedFillerGoesOnWithoutServing(t *testing.T) {
	r, serving, filler := besideLongTail(t)
	r.state.Cancel(r.now, "serving")
	r.pass(time.Second)
	r.report(worker(0), []runner.ActiveRun{halfDone(filler)}, []runner.RunEnd{end(1, serving, runner.EndStopped)})
	if got := r.paceOf(); got != 100 {
		t.Errorf("pace %d once nobody serves there, want 100", got)
	}
}

// TestLostPaceIsOrderedAgain repeats a pace whose answer was lost until it is
// in force.
func TestLostPaceIsOrderedAgain(t *testing.T) {
	r, serving, filler := besideServing(t)
	r.pass(1500 * time.Millisecond)
	report := func() {
		r.report(worker(0), []runner.ActiveRun{withTail(serving, 90), halfDone(filler)}, nil)
	}
	report()
	p := r.state.Plan(r.now)
	if len(p.CPULimits) != 1 || p.CPULimits[0].CPULimit.Percent != 0 {
		t.Fatalf("paces %+v beside a tail of 90 ms, want the filler paused", p.CPULimits)
	}
	r.state.HandleCPULimitAnswer(p.CPULimits[0], runner.Answer{Status: runner.Unknown})
	r.pass(400 * time.Millisecond)
	report()
	p = r.state.Plan(r.now)
	if len(p.CPULimits) != 1 || p.CPULimits[0].CPULimit.Percent != 0 {
		t.Fatalf("paces %+v after a lost answer, want the pause again", p.CPULimits)
	}
	r.state.HandleCPULimitAnswer(p.CPULimits[0], runner.Answer{Status: runner.Done})
	r.pass(400 * time.Millisecond)
	report()
	if p = r.state.Plan(r.now); len(p.CPULimits) != 0 {
		t.Errorf("paces %+v once it is in force, want none", p.CPULimits)
	}
}

// TestTakeOverResumesSlowedFillers has a new owner, which doesn't know at what
// pace its predecessor left a filler, order full speed.
func TestTakeOverResumesSlowedFillers(t *testing.T) {
	r, serving, filler := besideLongTail(t)
	r.flush()
	r.takeOver(worker(0))
	r.members(1)
	r.report(worker(0), []runner.ActiveRun{withTail(serving, 13), halfDone(filler)}, nil)
	if got := r.paceOf(); got != 100 {
		t.Errorf("pace %d ordered by the next owner, want 100", got)
	}
}
