package colocate

import (
	"time"

	"github.com/fireflygate/fireflygate/interference"
)

// Worker is what runs on a worker, as last reported.
type Worker struct {
	Serving []Serving
	Fillers []Filler
}

// Serving is a task that serves users.
type Serving struct {
	// Class names its image and target.
	Class string
	// Target bounds its tail.
	Target time.Duration
	// Tail is the tail of its response times over the last half second, 0
	// while it doesn't serve yet.
	Tail time.Duration
	// OverFor is how long its tail has been over the target.
	OverFor time.Duration
}

// Filler is a task that fills what others leave.
type Filler struct {
	Image string
	// Part is the share of the worker's processors that it uses, 0 to 1.
	Part float64
	// Pace is the share of its speed that it is allowed, in percent.
	Pace int
	// Saves is set if it can resume elsewhere from a checkpoint.
	Saves bool
	// Percent is how far it has come.
	Percent int
	// Settled is set once a report covers a whole window of it at its pace.
	Settled bool
}

// Load returns the fillers as the interference model sees them.
func (w *Worker) Load() interference.Load {
	var l interference.Load
	for i := range w.Fillers {
		l.Batch = addShare(l.Batch, w.Fillers[i].Image, w.Fillers[i].Part)
	}
	return l
}

// addShare adds to the share of a class.
func addShare(batch []interference.Share, class string, part float64) []interference.Share {
	for i := range batch {
		if batch[i].Class == class {
			batch[i].Part += part
			return batch
		}
	}
	return append(batch, interference.Share{Class: class, Part: part})
}
