package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// testLife is one life of worker 0 of a rig: it lists the ends that the owner hasn't
// acknowledged to it.
type testLife struct {
	*rig
	incarnation runner.Incarnation
	startedAt   time.Time
	active      []runner.ActiveRun
	ends        []runner.RunEnd
	lastEnd     uint64
}

// newTestLife starts a life of worker 0 now.
func newTestLife(r *rig, incarnation runner.Incarnation) *testLife {
	return &testLife{rig: r, incarnation: incarnation, startedAt: r.now}
}

// clock returns the reading of this life's clock.
func (l *testLife) clock() int64 { return 1 + l.now.Sub(l.startedAt).Milliseconds() }

// answer returns an answer of this life.
func (l *testLife) answer(status runner.Status) runner.Answer {
	return runner.Answer{Status: status, ClockMS: l.clock(), Incarnation: l.incarnation}
}

// startAnswer returns the answer to a start or stop, which doesn't tell the incarnation.
func (l *testLife) startAnswer() runner.Answer {
	return runner.Answer{Status: runner.Done, ClockMS: l.clock()}
}

// start carries a start out and answers it.
func (l *testLife) start(o dispatch.StartOrder) {
	l.active = append(l.active, active(o))
	l.state.HandleStartAnswer(l.now, o, l.startAnswer())
}

// end ends an active run.
func (l *testLife) end(o dispatch.StartOrder, kind runner.EndKind) {
	l.active = slices.DeleteFunc(l.active, func(a runner.ActiveRun) bool { return a.Task == o.Start.Task && a.Run == o.Start.Run })
	l.lastEnd++
	l.ends = append(l.ends, end(l.lastEnd, o, kind))
}

// renew carries a renewal out.
func (l *testLife) renew(o runner.Renewal) runner.Report {
	l.ends = slices.DeleteFunc(l.ends, func(e runner.RunEnd) bool { return e.Number <= o.Acknowledged })
	return runner.Report{ClockMS: l.clock(), Active: slices.Clone(l.active), Ends: slices.Clone(l.ends)}
}

// poll polls the worker once and commits what follows.
func (l *testLife) poll() {
	l.t.Helper()
	_, o, ok := l.state.Renewal(l.now, worker(0), testLease)
	if !ok {
		l.t.Fatal("the worker isn't known")
	}
	l.state.HandleReport(l.now, worker(0), o, l.answer(runner.Done), l.renew(o))
	l.flush()
	l.advance(testTick)
}

// startAll plans and carries all starts out in this life.
func (l *testLife) startAll() []dispatch.StartOrder {
	l.t.Helper()
	starts := l.state.Plan(l.now).Starts
	for _, o := range starts {
		l.start(o)
	}
	return starts
}

// newLifeRig returns a rig with one worker, in the life returned.
func newLifeRig(t *testing.T) *testLife {
	t.Helper()
	r := &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}}
	r.startOwner(1)
	r.startedAt = r.now
	r.members(1)
	r.advance(time.Minute) // the clock of the first life is ahead of the next one's
	first := newTestLife(r, 1)
	first.startedAt = r.startedAt
	first.poll()
	first.poll()
	return first
}

// TestEndsOfReturnedWorkerAreRecorded guards against jobs that stand still, and whose tasks are
// started again later: a worker that starts again under its ID numbers its ends from 1, and
// they were taken for those of the life before.
func TestEndsOfReturnedWorkerAreRecorded(t *testing.T) {
	first := newLifeRig(t)
	first.submit(queueShort, "before", step(4, 2))
	for _, o := range first.startAll() {
		first.end(o, runner.EndDone)
	}
	for range 4 {
		first.poll()
	}
	first.wantState("before", workload.Complete)
	second := newTestLife(first.rig, 2)
	second.submit(queueShort, "after", step(4, 2))
	for _, o := range second.startAll() { // the owner doesn't know of the new life yet
		second.advance(testTick)
		second.end(o, runner.EndDone)
	}
	for range 4 {
		second.poll()
	}
	second.startAll()
	if len(second.active) > 0 {
		t.Errorf("%d tasks were started again after they had ended", len(second.active))
	}
	second.wantState("after", workload.Complete)
	if len(second.ends) > 0 {
		t.Errorf("%d ends aren't acknowledged", len(second.ends))
	}
}

// TestRunsOfEndedLifeStartAgain guards against jobs that stand still: the runs of a worker that
// starts again under its ID have ended, though no report lists their ends.
func TestRunsOfEndedLifeStartAgain(t *testing.T) {
	first := newLifeRig(t)
	first.submit(queueShort, "job", step(4, 2))
	before := first.startAll()
	first.poll()
	second := newTestLife(first.rig, 2)
	again := 0
	for range 10 {
		second.poll()
		again += len(second.startAll())
	}
	second.wantFindings() // that runs of an ended life are missing is nothing to report
	if len(before) != 4 || again != 4 {
		t.Errorf("%d starts in the first life and %d in the second, want 4 each", len(before), again)
	}
}

// TestEndsInAnyOrderAreRecorded guards against lost ends: a worker may list its ends in any
// order, and the highest number was taken for all below it.
func TestEndsInAnyOrderAreRecorded(t *testing.T) {
	first := newLifeRig(t)
	first.submit(queueShort, "job", step(3, 2))
	for _, o := range first.startAll() {
		first.end(o, runner.EndDone)
	}
	slices.Reverse(first.ends)
	for range 3 {
		first.poll()
	}
	first.wantState("job", workload.Complete)
}
