package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/task"
)

// changeOwnerOfFullWorkers changes the owner of a shard whose workers are full of runs
// that reserve more than their jobs declare, while other jobs wait, and returns the
// violations.
func changeOwnerOfFullWorkers(t *testing.T, f faults) (violations []check.Violation) {
	bubble(t, 4, func(r *rig) {
		r.faults = f
		recorder := r.runWithRealPlanner(func(old *node) {
			submit := func(class string, jobs int, run time.Duration) (last task.Spec) {
				for i := range jobs {
					last = spec(fmt.Sprint(class, run, "-", i), run)
					last.Class, last.Resources.MemoryMB = class, 400
					r.submit(old, last)
				}
				return last
			}
			submit("fat", 12, 5*time.Second) // the size of the class is learned
			r.advanceTime(time.Minute)
			large := submit("fat", len(r.members), time.Hour)
			r.advanceTime(10 * time.Second)
			submit("even", 16, time.Hour)
			r.advanceTime(10 * time.Second)
			if rec := r.expectState(old, large.ID, task.Running); rec.Reservation().MilliCPU <= large.Resources.MilliCPU {
				t.Errorf("a run reserves %+v, want more than its job declares", rec.Reservation())
			}
			if c := old.Counts(); c.Pending == 0 {
				t.Errorf("counts %+v, want jobs that wait for workers", c)
			}
			r.own(r.node("b"))
			old.kill()
			r.advanceTime(time.Minute)
		})
		violations = capacityViolations(recorder)
	})
	return violations
}

// TestAdoptedRunsKeepTheirReservations guards against a new owner that takes the
// declared size of a running job for what it reserves, and starts others beside it.
func TestAdoptedRunsKeepTheirReservations(t *testing.T) {
	if violations := changeOwnerOfFullWorkers(t, faults{}); len(violations) > 0 {
		t.Errorf("%d violations, the first: %s", len(violations), violations[0].Detail)
	}
	if violations := changeOwnerOfFullWorkers(t, faults{adoptDeclared: true}); len(violations) == 0 {
		t.Error("no violation found for an owner that adopts runs at their declared sizes")
	}
}
