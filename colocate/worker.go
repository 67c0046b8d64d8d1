package colocate

import (
	"time"

	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/workload"
)

// Worker describes the tasks of a worker as last reported.
type Worker struct {
	Serving []Serving
	// BestEffort holds the running tasks. RecentlyEnded holds tasks whose
	// effect may still show in the tails.
	BestEffort, RecentlyEnded []BestEffortTask
}

// Serving is a serving task.
type Serving struct {
	// Class identifies the image and target.
	Class string
	// Step identifies the step; its tasks share the load of their users.
	Step workload.StepID
	// Target is the largest acceptable Tail.
	Target time.Duration
	// Tail is the tail latency over the last report window; 0 if the task
	// doesn't serve yet.
	Tail time.Duration
	// OverTargetFor is how long Tail has exceeded Target.
	OverTargetFor time.Duration
}

// Slack is Target divided by Tail; a value below 1 means that the target is
// missed. It is 0 if the task doesn't serve yet.
func (s *Serving) Slack() float64 {
	if s.Tail <= 0 {
		return 0
	}
	return float64(s.Target) / float64(s.Tail)
}

// BestEffortTask is a task without reserved processors.
type BestEffortTask struct {
	Image string
	// CPUShare is the requested share of the worker's processors, 0 to 1.
	CPUShare float64
	// Utilization is the CPU usage over the last report window, as a fraction
	// of what the task may use at its CPU limit.
	Utilization float64
	// CPULimit is the share of its requested processors that the task may use,
	// in percent.
	CPULimit int
	// Resumable is set if the task can resume on another worker from a
	// checkpoint.
	Resumable bool
	// ProgressPercent is the completed part of the task.
	ProgressPercent int
	// Settled is set once a report covers a full window at the current CPU
	// limit.
	Settled bool
}

// pressure estimates the task's interference with latency-critical tasks, from
// 0 to 1: its CPU limit as a share of the worker's processors, times the cube
// of its utilization: a task that uses two thirds of its processors interferes about
// a third as much as one that uses all. Until the task has settled, full utilization
// is assumed.
func (t *BestEffortTask) pressure() float64 {
	allowed := t.CPUShare * float64(t.CPULimit) / 100
	if !t.Settled {
		return allowed
	}
	utilization := min(t.Utilization, 1)
	return allowed * utilization * utilization * utilization
}

// load returns the settled best-effort tasks as input of the interference
// model.
func (w *Worker) load() interference.Load {
	var l interference.Load
	for i := range w.BestEffort {
		if t := &w.BestEffort[i]; t.Settled {
			l.Batch = addShare(l.Batch, t.Image, t.pressure())
		}
	}
	return l
}

func addShare(batch []interference.Share, class string, cpuShare float64) []interference.Share {
	for i := range batch {
		if batch[i].Class == class {
			batch[i].CPUShare += cpuShare
			return batch
		}
	}
	return append(batch, interference.Share{Class: class, CPUShare: cpuShare})
}

// Unsettled reports whether the tails don't show the effect of some
// best-effort task yet.
func (w *Worker) Unsettled() bool {
	for i := range w.BestEffort {
		if !w.BestEffort[i].Settled {
			return true
		}
	}
	return false
}
