package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/task"
)

// moveWorker lists a worker at another address, where another machine bears its name. The
// host and those added later know it.
func (r *rig) moveWorker(n *node, i int) {
	r.members = slices.Clone(r.members)
	m := &r.members[i]
	m.Address += "+"
	r.workers.add(m.Name, m.Address)
	n.SetWorkers(map[string][]infra.Member{shard: r.members})
}

// TestRunsAtTheAddressBefore guards against a job in two places: the machine at a worker's
// new address has none of its runs, but those at the address before go on until their
// leases end.
func TestRunsAtTheAddressBefore(t *testing.T) {
	for _, cut := range []bool{true, false} {
		bubble(t, 2, func(r *rig) {
			n := r.started(time.Hour)
			r.workers.set("w0", func(w *fakeWorker) { w.cut = cut })
			r.moveWorker(n, 0)
			r.advanceTime(2 * time.Minute)
			r.expectState(n, "j", task.Running)
			r.expectRuns(2)
		})
	}
}

// TestNextOwnerKnowsTheAddressBefore guards against the same fault where the owner is
// replaced as well: the next one has never known the address before.
func TestNextOwnerKnowsTheAddressBefore(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		n := r.started(time.Hour)
		n.kill()
		r.workers.set("w0", func(w *fakeWorker) { w.cut = true })
		b := r.node("b")
		r.moveWorker(b, 0)
		r.own(b)
		r.advanceTime(2 * time.Minute)
		r.expectState(b, "j", task.Running)
		r.expectRuns(2)
	})
}

// TestEndAtTheAddressBeforeCounts guards against work that is done twice: the reply of the
// address before to an exchange in flight still tells of ends.
func TestEndAtTheAddressBeforeCounts(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		n := r.started(5 * time.Second)
		r.workers.set("w0", func(w *fakeWorker) { w.lag = 900 * time.Millisecond })
		for r.workers.runsOf("j")[0].to.IsZero() {
			r.advanceTime(50 * time.Millisecond)
		}
		r.moveWorker(n, 0)
		r.advanceTime(time.Minute)
		r.expectState(n, "j", task.Done)
		r.expectRuns(1)
	})
}

// TestMovedWorkerGetsJobs guards against a worker without work after a move.
func TestMovedWorkerGetsJobs(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.started(time.Hour)
		r.moveWorker(n, 0)
		r.advanceTime(2 * time.Second)
		r.submit(n, spec("k", time.Second))
		r.advanceTime(5 * time.Second)
		r.expectState(n, "k", task.Done)
	})
}

// TestMovedWorkerLeavesItsQuarantine guards against a machine without work because the one
// that had its name before failed all runs.
func TestMovedWorkerLeavesItsQuarantine(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.node("a")
		r.own(n)
		r.advanceTime(2 * time.Second)
		r.workers.set("w0", func(w *fakeWorker) { w.failAll = true })
		for i := range 2 * settings.Default().Batch.QuarantineAfter {
			r.submit(n, spec(fmt.Sprint("bad", i), time.Second))
		}
		r.advanceTime(10 * time.Second)
		r.moveWorker(n, 0)
		r.advanceTime(3 * time.Second)
		r.submit(n, spec("j", time.Second))
		r.advanceTime(5 * time.Second)
		r.expectState(n, "j", task.Done)
	})
}
