package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// TestUntoldLostTaskStartsFirst guards against a long-running task that stands since its
// start is told by no row: an owner that couldn't commit any more had started it, and was
// lost. Its successor took it for a task that never ran, which waits behind other work and
// for headroom.
func TestUntoldLostTaskStartsFirst(t *testing.T) {
	for name, lose := range map[string]func(*rig, dispatch.StartOrder){
		"its worker reports the end": func(r *rig, lost dispatch.StartOrder) {
			r.report(lost.Worker.ID, nil, []runner.RunEnd{end(1, lost, runner.EndExpired)})
		},
		"its worker is lost, too": func(r *rig, lost dispatch.StartOrder) {
			r.loseAwaited(lost.Worker.ID)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2)
			r.submit(queueLong, "watch", step(1, 8, longRunning))
			lost := r.plan()[0] // after the owner's last commit
			r.takeOver(worker(0), worker(1))
			r.members(2)
			for _, id := range []string{worker(0), worker(1)} {
				if id != lost.Worker.ID {
					r.report(id, nil, nil)
				}
			}
			lose(r, lost)
			r.submit(queueShort, "other", step(2, 16))
			r.flush()
			limits := dispatch.PlanLimits{Starts: 1, Visits: 1, Lease: testLease}
			starts := r.state.PlanWithin(r.now, limits).Starts
			r.flush() // the location of a lost task is durable before it starts
			starts = append(starts, r.state.PlanWithin(r.now, limits).Starts...)
			if len(starts) == 0 || starts[0].Start.Task.Job != "watch" {
				t.Errorf("starts %+v, want the lost task", starts)
			}
		})
	}
}

// loseAwaited lets all workers but one report until the leases of that one are over.
func (r *rig) loseAwaited(id string) {
	r.t.Helper()
	for range int(time.Minute / testTick) {
		if r.state.AwaitedReports() == 0 {
			return
		}
		r.noAnswer(id)
		for _, other := range r.roster() {
			if other != id {
				r.report(other, nil, nil)
			}
		}
		r.advance(testTick)
		r.flush()
		r.state.ExpireLeases(r.now)
	}
	r.t.Fatal("the leases of the lost worker don't end")
}

// TestOnlyAsManyTasksCountAsStarted guards against tasks that never ran and start before all
// other work since a worker was lost on which they can't have run.
func TestOnlyAsManyTasksCountAsStarted(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueLong, "watch", step(6, 8, longRunning)) // two fit on a worker of 16 cores
	r.takeOver(worker(0), worker(1))
	r.report(worker(0), nil, nil)
	r.loseAwaited(worker(1))
	if n := r.state.StartedTasks("watch"); n != 2 {
		t.Errorf("%d tasks count as started, want 2", n)
	}
}
