package colocate

import "github.com/fireflygate/fireflygate/interference"

// Margin is by how much tails should stay below their targets, as a
// logarithm: a tail swings by half around its mean with the load of its own
// task, so a mean of half the target is the most that keeps it below.
const Margin = 0.7

// Harm is what adding a filler is expected to do to those who serve.
type Harm struct {
	// Expected is by how much the logarithm of a tail is expected to be above
	// its target less Margin, for the task that is worst off, uncertainty
	// counted in.
	Expected float64
	// Mean is the same as if the estimates were certain.
	Mean float64
}

// HarmOf returns what a filler of the image that uses part of the worker's
// processors would do there.
func HarmOf(m *interference.Model, w *Worker, image string, part float64) Harm {
	load := w.Load()
	load.Batch = addShare(load.Batch, image, part)
	return worst(m, w, load)
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

// worst returns the harm to the class that is worst off.
func worst(m *interference.Model, w *Worker, load interference.Load) Harm {
	var h Harm
	for i := range w.Serving {
		class := w.Serving[i].Class
		if i > 0 && class == w.Serving[i-1].Class {
			continue
		}
		h.Expected = max(h.Expected, m.Excess(class, load))
		h.Mean = max(h.Mean, m.MeanExcess(class, load))
	}
	return h
}
