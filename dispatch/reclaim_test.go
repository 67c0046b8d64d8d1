package dispatch_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// newSharedRig returns a rig whose owners have a queue with a guaranteed share.
func newSharedRig(t *testing.T, workers int) *rig {
	r := newRig(t, workers)
	r.setShare(queueSteady.GuaranteedShare)
	return r
}

// setShare changes the guaranteed share.
func (r *rig) setShare(share float64) {
	steady := queueSteady
	steady.GuaranteedShare = share
	r.queues = []workload.Queue{queueShort, queueLong, steady}
	r.state.SetQueues(r.queues)
}

// jobsOf returns the jobs of the started tasks, in order.
func jobsOf(starts []dispatch.StartOrder) string {
	var ids []string
	for _, o := range starts {
		ids = append(ids, o.Start.Task.Job)
	}
	return strings.Join(ids, " ")
}

// reclaim plans until runs are reclaimed, and returns the stops.
func (r *rig) reclaim() []dispatch.StopOrder {
	r.t.Helper()
	for range 10 {
		r.advance(testTick)
		p := r.state.Plan(r.now)
		if len(p.Starts) > 0 {
			r.t.Fatalf("%s started", jobsOf(p.Starts))
		}
		if len(p.Stops) > 0 {
			return p.Stops
		}
	}
	r.t.Fatal("nothing was reclaimed")
	return nil
}

// wantNoOrders checks that plans give no orders for d.
func (r *rig) wantNoOrders(d time.Duration) {
	r.t.Helper()
	for range d / testTick {
		r.advance(testTick)
		if p := r.state.Plan(r.now); len(p.Starts)+len(p.Stops) > 0 {
			r.t.Fatalf("%d starts (%s) and %d stops", len(p.Starts), jobsOf(p.Starts), len(p.Stops))
		}
	}
}

// byStop returns the start order of the run that a stop order names.
func byStop(starts []dispatch.StartOrder, stop dispatch.StopOrder) dispatch.StartOrder {
	return starts[slices.IndexFunc(starts, func(o dispatch.StartOrder) bool { return o.Start.Task == stop.Stop.Task })]
}

// TestClaimGoesFirst guards against a queue below its share that waits behind queues of
// higher priority, and against one that takes more than its share from them.
func TestClaimGoesFirst(t *testing.T) {
	r := newSharedRig(t, 2) // the share is 12.8 of 32 cores
	r.submit(queueShort, "first", step(20, 3))
	r.submit(queueSteady, "steady", step(20, 3))
	if got, want := jobsOf(r.plan()), "steady steady steady steady steady first first first first first"; got != want {
		t.Errorf("started %s, want %s", got, want)
	}
}

// TestFurthestBelowGoesFirst guards against two claims that are met in another order than
// that of the parts of the shares that are used.
func TestFurthestBelowGoesFirst(t *testing.T) {
	r := newRig(t, 1)
	short, long := queueShort, queueLong
	short.GuaranteedShare, long.GuaranteedShare = 0.75, 0.25 // 12 and 4 cores
	r.state.SetQueues([]workload.Queue{short, long})
	r.submit(short, "running", step(2, 4))
	r.plan()
	r.submit(short, "short", step(4, 4))
	r.submit(long, "long", step(4, 4))
	if got, want := jobsOf(r.plan()), "long short"; got != want {
		t.Errorf("started %s, want %s", got, want)
	}
}

// TestUnusedShareIsLent guards against capacity that idles for a queue without demand.
func TestUnusedShareIsLent(t *testing.T) {
	r := newSharedRig(t, 2)
	r.submit(queueShort, "first", step(8, 4))
	r.submit(queueSteady, "waits for a label", step(1, 4, func(s *workload.Step) { s.Label = "nowhere" }))
	if got := len(r.plan()); got != 8 {
		t.Errorf("%d tasks started, want 8", got)
	}
	r.wantNoOrders(2 * time.Second) // no run is stopped for a task that would not fit
}

// TestReclaimIsBounded guards against reclaiming more than a tenth of the pool per
// second, long-running tasks and gangs, and runs that lose more work than others.
func TestReclaimIsBounded(t *testing.T) {
	r := newSharedRig(t, 10) // 160 cores
	r.submit(queueShort, "serving", step(5, 8, longRunning, func(s *workload.Step) { s.MaxPerWorker = 1 }))
	r.plan()
	r.submit(queueShort, "gang", step(2, 4, func(s *workload.Step) { s.Gang = true }))
	r.plan()
	r.submit(queueShort, "long ago", step(4, 4))
	r.plan()
	r.advance(10 * time.Second)
	r.submit(queueShort, "lately", step(24, 4))
	starts := r.plan()
	if len(starts) != 24 {
		t.Fatalf("%d tasks started, want a full pool", len(starts))
	}
	r.submit(queueSteady, "steady", step(20, 4))
	var stopped int
	for range 9 {
		r.advance(testTick)
		for _, o := range r.state.Plan(r.now).Stops {
			if o.Cause != dispatch.Reclaimed || o.Stop.Task.Job != "lately" {
				t.Errorf("%v was stopped as %v, want runs that lose little", o.Stop.Task, o.Cause)
			}
			stopped++
		}
	}
	if stopped != 4 { // of 4 cores each
		t.Errorf("%d runs reclaimed within a second, want a tenth of the pool", stopped)
	}
}

// TestReclaimLeavesShares guards against reclaiming from a queue what its own share
// guarantees, and against a preemption by priority that does so.
func TestReclaimLeavesShares(t *testing.T) {
	for _, c := range []struct {
		name            string
		claimant, share float64
		least, most     int
	}{
		{"claim", 0.25, 0.75, 1, 3}, // 12 of 48 cores are lent, three runs
		{"no claim", 0, 0.75, 1, 3},
		{"claim of less than a run", 0.04, 0.96, 0, 0}, // not quite 2 cores are lent
		{"less than a run is lent", 0, 0.96, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 3)
			short, steady := queueShort, queueSteady
			short.GuaranteedShare, steady.GuaranteedShare = c.claimant, c.share
			r.state.SetQueues([]workload.Queue{short, steady})
			r.submit(steady, "steady", step(12, 4))
			r.plan()
			r.submit(short, "short", step(6, 8))
			r.submit(short, "small", step(6, 4))
			var stops int
			for range 50 {
				r.advance(testTick)
				stops += len(r.state.Plan(r.now).Stops)
			}
			if stops < c.least || stops > c.most {
				t.Errorf("%d runs of 4 cores stopped, want %d to %d", stops, c.least, c.most)
			}
		})
	}
}

// TestReclaimedCapacityIsKept guards against other tasks that take, in parts, the capacity
// of a worker where runs are being stopped for a larger task.
func TestReclaimedCapacityIsKept(t *testing.T) {
	r := newSharedRig(t, 5) // of 80 cores
	r.submit(queueShort, "old", step(2, 7, func(s *workload.Step) { s.Label = "rack-" + worker(0) }))
	r.plan()
	r.advance(time.Second)
	r.submit(queueShort, "burst", step(8, 7))
	starts := r.plan()
	r.submit(queueSteady, "steady", step(1, 9))
	stop := r.reclaim()[0]
	r.submit(queueShort, "small", step(9, 2))
	for range 3 {
		r.advance(testTick)
		for _, o := range r.plan() {
			if o.Worker.ID == stop.Worker.ID {
				t.Errorf("%v started where capacity is being reclaimed", o.Start.Task)
			}
		}
	}
	r.report(stop.Worker.ID, nil, []runner.RunEnd{end(1, byStop(starts, stop), runner.EndStopped)})
	if got := jobsOf(r.plan()); !strings.HasPrefix(got, "steady") {
		t.Errorf("%q started, want the task for which capacity was reclaimed", got)
	}
}

// TestReclaimOnlyWhereItHelps guards against runs that are stopped although the task may
// not start on their worker.
func TestReclaimOnlyWhereItHelps(t *testing.T) {
	r := newRig(t, 5)
	steady := queueSteady
	steady.NeedsPermit = true
	r.state.SetQueues([]workload.Queue{queueShort, steady})
	r.submit(queueShort, "burst", step(20, 4))
	r.plan()
	r.submit(steady, "steady", step(4, 4))
	r.wantNoOrders(2 * time.Second) // no worker is permitted
}

// TestInheritedRunsAreUsed guards against reclaiming for a queue whose runs a new owner
// doesn't know yet, as their worker hasn't reported to it.
func TestInheritedRunsAreUsed(t *testing.T) {
	r := newRig(t, 20)
	r.setShare(0.05) // 16 of 320 cores
	r.submit(queueSteady, "steady", step(4, 4, func(s *workload.Step) { s.Label = "rack-" + worker(0) }))
	r.submit(queueShort, "burst", step(76, 4))
	starts := r.plan()
	r.flush()
	r.takeOver(r.roster()...)
	r.members(20)
	for i := 1; i < 20; i++ {
		var runs []runner.ActiveRun
		for _, o := range starts {
			if o.Worker.ID == worker(i) {
				runs = append(runs, active(o))
			}
		}
		r.report(worker(i), runs, nil)
	}
	r.submit(queueSteady, "more", step(4, 4))
	r.wantNoOrders(2 * time.Second)
}

// TestOwnerLostWhileReclaiming guards against a task on two workers and against a share
// that isn't held, if the owner is lost while runs are being stopped, with stops that
// were carried out and stops that were not.
func TestOwnerLostWhileReclaiming(t *testing.T) {
	for _, delivered := range []bool{true, false} {
		r := newSharedRig(t, 3)
		r.submit(queueShort, "burst", step(12, 4))
		starts := r.plan()
		r.flush()
		r.submit(queueSteady, "steady", step(3, 4))
		stop := r.reclaim()[0]
		r.flush()
		r.takeOver(r.roster()...)
		r.members(3)
		if p := r.state.Plan(r.now); len(p.Starts)+len(p.Stops) > 0 {
			t.Fatalf("%d starts and %d stops before the workers have reported", len(p.Starts), len(p.Stops))
		}
		for i := range 3 {
			var runs []runner.ActiveRun
			var ends []runner.RunEnd
			for _, o := range starts {
				switch {
				case o.Worker.ID != worker(i):
				case delivered && o.Start.Task == stop.Stop.Task:
					ends = append(ends, end(1, o, runner.EndStopped))
				default:
					runs = append(runs, active(o))
				}
			}
			r.report(worker(i), runs, ends)
		}
		r.flush()
		want := ""
		if delivered {
			want = "steady"
		}
		if got := jobsOf(r.plan()); got != want {
			t.Errorf("delivered %v: %q started, want %q", delivered, got, want)
		}
		if next := r.reclaim()[0]; next.Stop.Task.Job != "burst" || next.Cause != dispatch.Reclaimed {
			t.Errorf("delivered %v: %v was stopped as %v", delivered, next.Stop.Task, next.Cause)
		}
	}
}

// TestReclaimAnswerLost guards against a run that is started elsewhere, and against others
// that are stopped instead, while it isn't known whether a stop was carried out.
func TestReclaimAnswerLost(t *testing.T) {
	r := newSharedRig(t, 3)
	r.submit(queueShort, "burst", step(12, 4))
	starts := r.plan()
	r.submit(queueSteady, "steady", step(1, 4))
	stops := r.reclaim()
	if len(stops) != 1 {
		t.Fatalf("%d runs stopped for one task, want 1", len(stops))
	}
	r.state.HandleStopAnswer(r.now, stops[0], runner.Answer{Status: runner.Unknown})
	r.wantNoOrders(2 * time.Second)
	o := byStop(starts, stops[0])
	var still []runner.ActiveRun
	for _, other := range starts {
		if other.Worker.ID == o.Worker.ID {
			still = append(still, active(other))
		}
	}
	r.report(o.Worker.ID, still, nil) // the stop was lost
	p := r.state.Plan(r.now)
	if len(p.Stops) != 1 || p.Stops[0].Stop != stops[0].Stop || len(p.Starts) > 0 {
		t.Errorf("%d starts, stops %+v, want the same stop again", len(p.Starts), p.Stops)
	}
	still = slices.DeleteFunc(still, func(a runner.ActiveRun) bool { return a.Task == o.Start.Task })
	r.report(o.Worker.ID, still, []runner.RunEnd{end(1, o, runner.EndStopped)})
	if got := jobsOf(r.plan()); got != "steady" {
		t.Errorf("%q started, want the task of the queue below its share", got)
	}
}

// TestSharesChange guards against runs that are stopped because a share shrank, and
// against shares that stay in force after they have changed.
func TestSharesChange(t *testing.T) {
	r := newSharedRig(t, 2)
	r.submit(queueSteady, "steady", step(8, 4))
	r.plan()
	r.setShare(0.1)
	r.wantNoOrders(2 * time.Second)
	r.submit(queueShort, "short", step(1, 4))
	r.advance(testTick)
	r.state.Plan(r.now)
	r.setShare(1)
	r.wantNoOrders(2 * time.Second) // all that the other queue uses is its own
	r.setShare(0)
	r.advance(testTick)
	if p := r.state.Plan(r.now); len(p.Stops) != 1 || p.Stops[0].Cause != dispatch.Preempted {
		t.Errorf("stops %+v without shares, want a preemption by priority", p.Stops)
	}
}

// TestLargeTaskBelowShare guards against a large task of a queue below its share that is
// always last, as others take each gap.
func TestLargeTaskBelowShare(t *testing.T) {
	r := newSharedRig(t, 2)
	r.submit(queueShort, "burst", step(8, 4))
	starts := r.plan()
	r.submit(queueSteady, "large", step(1, 12))
	r.submit(queueShort, "small", step(4, 4))
	for i, o := range starts {
		if o.Worker.ID == worker(0) && i%2 == 0 {
			r.report(o.Worker.ID, nil, []runner.RunEnd{end(uint64(i+1), o, runner.EndDone)})
		}
	}
	for _, o := range r.plan() {
		if o.Worker.ID == worker(0) {
			t.Errorf("%v started in the gap for the large task", o.Start.Task)
		}
	}
}

// TestSharesDisabled checks that -without shares leaves shares out.
func TestSharesDisabled(t *testing.T) {
	r := &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}, disabled: mechanism.Of(mechanism.Shares)}
	r.startedAt = r.now
	r.startOwner(1)
	r.setShare(0.4)
	r.members(2)
	for i := range 2 {
		r.report(worker(i), nil, nil)
	}
	r.submit(queueSteady, "steady", step(8, 4))
	r.submit(queueShort, "short", step(8, 4))
	if got := jobsOf(r.plan()); strings.Contains(got, "steady") {
		t.Errorf("%s started, want only the queue of higher priority", got)
	}
}

// TestJobEndsWhileReclaimed guards against a queue that counts as using less than it does
// while runs of its ended jobs are being stopped.
func TestJobEndsWhileReclaimed(t *testing.T) {
	r := newSharedRig(t, 3)
	r.submit(queueShort, "first", step(10, 4))
	r.plan()
	r.submit(queueShort, "second", step(2, 4))
	r.plan()
	r.submit(queueSteady, "steady", step(3, 4))
	stop := r.reclaim()[0]
	r.state.Cancel(r.now, stop.Stop.Task.Job)
	want := map[string]int64{"first": 8000, "second": 40_000}[stop.Stop.Task.Job]
	for _, q := range r.state.AttributeTime(r.now).Shares {
		if q.Queue == queueShort.Name && q.Used != want {
			t.Errorf("%d used after the end of %s, want %d", q.Used, stop.Stop.Task.Job, want)
		}
	}
}
