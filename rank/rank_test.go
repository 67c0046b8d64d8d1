package rank_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/rank"
)

// TestCost compares the costs of two workers for a task in each case.
func TestCost(t *testing.T) {
	resources := func(cpu int64) infra.Resources { return infra.Resources{MilliCPU: cpu, MemoryMB: 1000} }
	base := rank.Worker{Free: resources(8000), Capacity: resources(16_000), UnusedMilliCPU: 8000, DataLocal: true}
	with := func(f func(*rank.Worker)) rank.Worker {
		w := base
		f(&w)
		return w
	}
	short := rank.Task{Request: resources(4000)}
	serving := rank.Task{Request: resources(4000), Serving: true, Spread: true}
	bestEffort := rank.Task{Request: resources(4000), BestEffort: true}
	lowImpact := rank.Task{Request: resources(4000), BestEffort: true, LowImpact: true}
	for _, c := range []struct {
		name          string
		task          rank.Task
		better, worse rank.Worker
	}{
		{"fuller worker", short, with(func(w *rank.Worker) { w.Free = resources(4000) }), base},
		{"local data, though emptier", short, with(func(w *rank.Worker) { w.Free = resources(16_000) }), with(func(w *rank.Worker) { w.DataLocal = false })},
		{"healthy worker, though with remote data", short, with(func(w *rank.Worker) { w.DataLocal = false }), with(func(w *rank.Worker) { w.Suspect = true })},
		{"slow worker rather than remote data", short, with(func(w *rank.Worker) { w.Slowdown = 16 }), with(func(w *rank.Worker) { w.DataLocal = false })},
		{"interference rather than a slow worker", bestEffort, with(func(w *rank.Worker) { w.Serving, w.Impact = 1, 3 }), with(func(w *rank.Worker) { w.Slowdown = 2 })},
		{"less slow worker", short, with(func(w *rank.Worker) { w.Slowdown = 2 }), with(func(w *rank.Worker) { w.Slowdown = 6 })},
		{"suspect worker rather than one on which the task failed", short, with(func(w *rank.Worker) { w.Suspect = true }), with(func(w *rank.Worker) { w.FailedBefore = true })},
		{"worker that already serves the class", serving, with(func(w *rank.Worker) { w.Serving = 1 }), base},
		{"empty worker rather than one that serves other classes", serving, base, with(func(w *rank.Worker) { w.Serving, w.OtherClasses = 2, 2 })},
		{"serving task where the impact is small", serving, base, with(func(w *rank.Worker) { w.Serving, w.BestEffort, w.Impact = 1, 2, 0.5 })},
		{"best-effort task where most processors are unused", bestEffort, base, with(func(w *rank.Worker) { w.UnusedMilliCPU = 4000 })},
		{"best-effort task where its impact is small", bestEffort, base, with(func(w *rank.Worker) { w.Serving, w.Impact = 1, 0.04 })},
		{"low-impact task leaves workers without serving tasks to others", lowImpact, with(func(w *rank.Worker) { w.Serving = 1 }), with(func(w *rank.Worker) { w.Demand = 0.6 })},
		{"low-impact task leaves workers that others need to them", lowImpact, with(func(w *rank.Worker) { w.Serving, w.UnusedMilliCPU = 1, 6000 }), with(func(w *rank.Worker) { w.Serving, w.Demand = 1, 0.3 })},
		{"other best-effort task uses the workers that it needs", bestEffort, with(func(w *rank.Worker) { w.Serving, w.Demand = 1, 0.3 }), with(func(w *rank.Worker) { w.Serving, w.Impact = 1, 0.5 })},
	} {
		better, worse := rank.Cost(&c.task, &c.better), rank.Cost(&c.task, &c.worse)
		if better >= worse {
			t.Errorf("%s: cost %.3f isn't less than %.3f", c.name, better, worse)
		}
	}
}
