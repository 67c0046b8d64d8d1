package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

func TestWorkerThatFailsEverythingIsQuarantinedAndProbed(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		r.workers.set("w0", func(w *fakeWorker) { w.failAll = true })
		n := r.node("a")
		r.own(n)
		r.advanceTime(2 * time.Second)
		for i := range 12 {
			r.submit(n, spec(fmt.Sprint("j", i), 5*time.Second))
		}
		r.advanceTime(40 * time.Second)
		for i := range 12 {
			r.expectState(n, fmt.Sprint("j", i), task.Done)
		}
		before := r.countOn("w0")
		if before > 4 {
			t.Errorf("%d runs on the failing worker, want at most 4", before)
		}
		r.advanceTime(time.Minute)
		for i := range 6 {
			r.submit(n, spec(fmt.Sprint("p", i), 5*time.Second))
		}
		r.advanceTime(20 * time.Second)
		if got := r.countOn("w0") - before; got != 1 {
			t.Errorf("%d jobs ran on the worker after its quarantine, want 1", got)
		}
	})
}

// countOn returns the number of runs started on a worker.
func (r *rig) countOn(worker string) int {
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	n := 0
	for _, i := range r.workers.history {
		if i.worker == worker {
			n++
		}
	}
	return n
}

func TestJobThatFailsEverywhereIsParked(t *testing.T) {
	bubble(t, 4, func(r *rig) {
		for i := range 4 {
			r.workers.set(fmt.Sprint("w", i), func(w *fakeWorker) { w.failAll = true })
		}
		n := r.node("a")
		r.own(n)
		r.advanceTime(2 * time.Second)
		r.submit(n, spec("j", time.Second))
		r.advanceTime(10 * time.Second)
		if rec := r.expectState(n, "j", task.Parked); len(rec.Failures) != 3 {
			t.Errorf("parked after failures on %v, want three workers", rec.Failures)
		}
	})
}

func TestKilledJobIsParkedWhenItFitsNoHost(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		for i := range 2 {
			r.workers.set(fmt.Sprint("w", i), func(w *fakeWorker) { w.killAll = true })
		}
		n := r.node("a")
		r.own(n)
		r.advanceTime(2 * time.Second)
		r.submit(n, spec("j", time.Second))
		r.advanceTime(10 * time.Second)
		if rec := r.expectState(n, "j", task.Parked); rec.Kills != 4 || len(rec.Failures) != 0 {
			t.Errorf("parked after %d kills and failures on %v, want 4 and none", rec.Kills, rec.Failures)
		}
		if n.planner.killed != 4 {
			t.Errorf("the planner recorded %d kills before the release of their runs, want 4", n.planner.killed)
		}
	})
}

func TestLeavingWorkerIsDrained(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		n := r.started(time.Hour)
		r.members[0].State = infra.Leaving
		n.SetWorkers(map[string][]infra.Member{shard: r.members})
		r.advanceTime(5 * time.Second)
		r.expectState(n, "j", task.Running)
		runs := r.expectRuns(2)
		if last := runs[len(runs)-1]; last.worker != "w1" || last.checkpoint == "" {
			t.Errorf("run %+v, want one on w1 from a checkpoint", last)
		}
	})
}
