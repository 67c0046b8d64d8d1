package dispatch

import (
	"slices"

	"github.com/fireflygate/fireflygate/workload"
)

// LossCause is why the runs of a worker count as ended without a report of their
// ends.
type LossCause uint8

// The causes of a worker's loss.
const (
	// Restarted: another incarnation answered at the worker's address.
	Restarted LossCause = iota
	// LeaseExpired: the worker was unresponsive until its lease expired.
	LeaseExpired
	// Departed: a worker of an earlier owner was missing from the membership list
	// and never reported.
	Departed
	lossCauseCount
)

var lossCauseNames = [lossCauseCount]string{"restarted", "lease expired", "departed"}

// String returns the cause as it appears in logs and metrics.
func (c LossCause) String() string {
	if c < lossCauseCount {
		return lossCauseNames[c]
	}
	return "unknown"
}

// WorkerLoss describes the loss of a worker and of the runs there.
type WorkerLoss struct {
	Worker string
	Cause  LossCause
	// Runs counts the runs lost; Unreported holds the tasks of those that no report
	// of the worker had included yet, at most maxLossTasks.
	Runs       int
	Unreported []workload.TaskID
}

const (
	// maxLossTasks bounds the tasks in a WorkerLoss.
	maxLossTasks = 8
	// maxLosses bounds the losses kept for TakeWorkerLosses.
	maxLosses = 1024
)

// TakeWorkerLosses returns and clears the losses recorded since the last call.
func (s *State) TakeWorkerLosses() []WorkerLoss {
	losses := s.losses
	s.losses = nil
	return losses
}

// dropLostRuns ends all runs of a worker and keeps their checkpoints.
func (s *State) dropLostRuns(w *worker, cause LossCause) {
	if len(w.runs) == 0 {
		return
	}
	loss := WorkerLoss{Worker: w.info.ID, Cause: cause, Runs: len(w.runs)}
	for _, r := range slices.Clone(w.runsByNumber) {
		s.Stats.LostRuns++
		if !r.reported && len(loss.Unreported) < maxLossTasks {
			loss.Unreported = append(loss.Unreported, r.task.id())
		}
		if r.checkpoint != "" {
			r.task.checkpoint = r.checkpoint
		}
		s.releaseRun(r)
	}
	if len(s.losses) < maxLosses {
		s.losses = append(s.losses, loss)
	}
}
