package rank_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/rank"
)

// TestCost compares two workers for one task: the first must be better.
func TestCost(t *testing.T) {
	room := func(cpu int64) infra.Resources { return infra.Resources{MilliCPU: cpu, MemoryMB: 1000} }
	base := rank.Worker{Free: room(8000), Capacity: room(16_000), UnusedMilliCPU: 8000, DataLocal: true}
	with := func(f func(*rank.Worker)) rank.Worker {
		w := base
		f(&w)
		return w
	}
	short := rank.Task{Request: room(4000)}
	serving := rank.Task{Request: room(4000), Serving: true, Spread: true}
	filler := rank.Task{Request: room(4000), BestEffort: true}
	quiet := rank.Task{Request: room(4000), BestEffort: true, LowImpact: true}
	for _, c := range []struct {
		name          string
		task          rank.Task
		better, worse rank.Worker
	}{
		{"the fuller worker", short, with(func(w *rank.Worker) { w.Free = room(4000) }), base},
		{"near the data, though emptier", short, with(func(w *rank.Worker) { w.Free = room(16_000) }), with(func(w *rank.Worker) { w.DataLocal = false })},
		{"a sound worker, though far from the data", short, with(func(w *rank.Worker) { w.DataLocal = false }), with(func(w *rank.Worker) { w.Suspect = true })},
		{"a suspect worker rather than where it failed", short, with(func(w *rank.Worker) { w.Suspect = true }), with(func(w *rank.Worker) { w.FailedBefore = true })},
		{"where its class serves already", serving, with(func(w *rank.Worker) { w.Serving = 1 }), base},
		{"an empty worker rather than among strangers", serving, base, with(func(w *rank.Worker) { w.Serving, w.OtherClasses = 2, 2 })},
		{"where fillers don't disturb it", serving, base, with(func(w *rank.Worker) { w.Serving, w.BestEffort, w.Impact = 1, 2, 0.5 })},
		{"a filler where most lies idle", filler, base, with(func(w *rank.Worker) { w.UnusedMilliCPU = 4000 })},
		{"a filler where it does no harm", filler, base, with(func(w *rank.Worker) { w.Serving, w.Impact = 1, 0.04 })},
		{"a quiet filler leaves free workers to others", quiet, with(func(w *rank.Worker) { w.Serving = 1 }), with(func(w *rank.Worker) { w.Demand = 0.6 })},
		{"a quiet filler leaves workers that suit loud ones to them", quiet, with(func(w *rank.Worker) { w.Serving, w.UnusedMilliCPU = 1, 6000 }), with(func(w *rank.Worker) { w.Serving, w.Demand = 1, 0.3 })},
		{"a loud filler goes to them", filler, with(func(w *rank.Worker) { w.Serving, w.Demand = 1, 0.3 }), with(func(w *rank.Worker) { w.Serving, w.Impact = 1, 0.5 })},
	} {
		better, worse := rank.Cost(&c.task, &c.better), rank.Cost(&c.task, &c.worse)
		if better >= worse {
			t.Errorf("%s: cost %.3f isn't less than %.3f", c.name, better, worse)
		}
	}
}
