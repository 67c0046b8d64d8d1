package colocate

import (
	"math"

	"github.com/fireflygate/fireflygate/interference"
)

// Margin is by how much tails should stay below their targets, as a
// logarithm, where only the model speaks: a tail swings by half around its
// mean with the load of its own task, so a mean of half the target is the
// most that keeps it below.
const Margin = 0.7

// swingMargin is the same where the tail itself is known: it need only cover
// what a task's own load adds in the few seconds that a filler takes.
const swingMargin = 0.45

// Harm is what adding a filler is expected to do to those who serve.
type Harm struct {
	// Expected is by how much the logarithm of a tail is expected to be above
	// its target less Margin, for the task that is worst off, uncertainty
	// counted in.
	Expected float64
	// Mean is the same as if the estimates were certain.
	Mean float64
	// Trial is set if too little is known of a pair to say, so that at most
	// one such filler should be new on a worker at a time.
	Trial bool
}

// uncertain is the deviation of a filler's effect on the logarithm of a tail
// above which placing it is a trial; a pair that disturbs adds 0.5 or more.
const uncertain = 0.08

// HarmOf returns what a filler of the image that uses part of the worker's
// processors would do there: to each class as the model has it, started from
// the tail that is reported where there is one.
func HarmOf(m *interference.Model, w *Worker, image string, part float64) Harm {
	var h Harm
	for i := range w.Serving {
		s := &w.Serving[i]
		if s.Tail == 0 {
			load := w.Load()
			load.Batch = addShare(load.Batch, image, part)
			h.raise(m.Excess(s.Class, load), m.MeanExcess(s.Class, load))
			continue
		}
		now := math.Log(float64(s.Tail)/float64(s.Target)) + swingMargin
		mean, deviation := m.Blame(s.Class, image, part)
		for j := range w.Fillers {
			if f := &w.Fillers[j]; !f.Settled {
				more, _ := m.Blame(s.Class, f.Image, f.Part)
				now += max(more, 0) // not in the tail yet
			}
		}
		h.Trial = h.Trial || deviation > uncertain
		h.raise(now+mean+deviation/2, now+mean)
	}
	return h
}

// Unsettled reports whether a filler's effect isn't in the tails yet.
func (w *Worker) Unsettled() bool {
	for i := range w.Fillers {
		if !w.Fillers[i].Settled {
			return true
		}
	}
	return false
}

// raise takes in the harm to one more class.
func (h *Harm) raise(expected, mean float64) {
	h.Expected = max(h.Expected, expected)
	h.Mean = max(h.Mean, mean)
}

// HarmTo returns what the fillers of a worker would do to one more task that
// serves.
func HarmTo(m *interference.Model, w *Worker, class string) Harm {
	load := w.Load()
	if len(load.Batch) == 0 {
		return Harm{}
	}
	return Harm{Expected: m.Excess(class, load), Mean: m.MeanExcess(class, load)}
}
