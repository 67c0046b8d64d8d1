package colocate

import (
	"time"

	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/workload"
)

// Worker is what runs on a worker, as last reported.
type Worker struct {
	Serving []Serving
	// BestEffort are at work, Leaving have ended so lately that the tails may
	// still show them.
	BestEffort, RecentlyEnded []BestEffortTask
}

// Serving is a task that serves users.
type Serving struct {
	// Class names its image and target.
	Class string
	// Step names the step; its tasks share their users' load.
	Step workload.StepID
	// Target bounds its tail.
	Target time.Duration
	// Tail is the tail of its response times over the last half second, 0
	// while it doesn't serve yet.
	Tail time.Duration
	// OverTargetFor is how long its tail has been over the target.
	OverTargetFor time.Duration
}

// Slack is the target over the tail; below 1 the tail is too long. 0 while the
// task doesn't serve yet.
func (s *Serving) Slack() float64 {
	if s.Tail <= 0 {
		return 0
	}
	return float64(s.Target) / float64(s.Tail)
}

// BestEffortTask is a task that fills what others leave.
type BestEffortTask struct {
	Image string
	// CPUShare is the share of the worker's processors that it asks for, 0 to 1.
	CPUShare float64
	// Utilization is how much it used over the last half second of what it asks for,
	// at its pace.
	Utilization float64
	// CPULimit is the share of its speed that it is allowed, in percent.
	CPULimit int
	// Resumable is set if it can resume elsewhere from a checkpoint.
	Resumable bool
	// ProgressPercent is how far it has come.
	ProgressPercent int
	// Settled is set once a report covers a whole window of it at its pace.
	Settled bool
}

// press is the share of the worker's processors by which a filler disturbs
// now: what it asks for, weighed by the cube of how busy it is. One that uses
// 0.67 of its processors disturbs a third as much as one that uses all, by
// regression over 9,000 readings of tails.
func (f *BestEffortTask) press() float64 {
	allowed := f.CPUShare * float64(f.CPULimit) / 100
	if !f.Settled {
		return allowed
	}
	u := min(f.Utilization, 1)
	return allowed * u * u * u
}

// load returns the settled fillers as the interference model sees them.
func (w *Worker) load() interference.Load {
	var l interference.Load
	for i := range w.BestEffort {
		if f := &w.BestEffort[i]; f.Settled {
			l.Batch = addShare(l.Batch, f.Image, f.press())
		}
	}
	return l
}

// addShare adds to the share of a class.
func addShare(batch []interference.Share, class string, part float64) []interference.Share {
	for i := range batch {
		if batch[i].Class == class {
			batch[i].CPUShare += part
			return batch
		}
	}
	return append(batch, interference.Share{Class: class, CPUShare: part})
}

// Unsettled reports whether a filler's effect isn't in the tails yet.
func (w *Worker) Unsettled() bool {
	for i := range w.BestEffort {
		if !w.BestEffort[i].Settled {
			return true
		}
	}
	return false
}
