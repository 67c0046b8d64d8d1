package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// LossCause is why the runs of a worker count as ended without a report of their
// ends.
type LossCause uint8

// The causes of a worker's loss.
const (
	// Restarted: another incarnation answered at the worker's address.
	Restarted LossCause = iota
	// LeaseExpired: the worker was unresponsive until its lease expired, or didn't
	// report to this owner until the leases from earlier owners had.
	LeaseExpired
	lossCauseCount
)

var lossCauseNames = [lossCauseCount]string{"restarted", "lease expired"}

// String returns the cause as it appears in logs and metrics.
func (c LossCause) String() string {
	if c < lossCauseCount {
		return lossCauseNames[c]
	}
	return "unknown"
}

// evidence returns the cause as evidence that a run is over.
func (c LossCause) evidence() EndEvidence {
	if c == Restarted {
		return WorkerRestarted
	}
	return WorkerLeaseExpired
}

// WorkerLoss describes the loss of a worker and of the runs there.
type WorkerLoss struct {
	Worker string
	Cause  LossCause
	// Runs counts the runs lost; Unreported holds the tasks of those that no report
	// of the worker had included yet, at most maxLossTasks.
	Runs       int
	Unreported []workload.TaskID
	// Reported is set if the worker had answered this owner, and Unresponsive is how
	// long it hadn't since.
	Reported     bool
	Unresponsive time.Duration
	// WithRack is set if all workers of its rack were lost with it; its tasks aren't
	// blamed then.
	WithRack bool
}

// GivenUpJob is a job that has failed because workers crashed under one of its tasks.
type GivenUpJob struct {
	Job string
	// Reason is the reason that callers see.
	Reason string
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

// dropLostRuns ends all runs of a worker, with those that earlier owners may have started.
func (s *State) dropLostRuns(now time.Time, w *worker, cause LossCause) {
	s.dropRuns(now, w, slices.Clone(w.runsByNumber), cause)
}

// dropRuns ends lost runs of a worker, keeps their checkpoints, and records the crash with
// the tasks that may have caused it.
func (s *State) dropRuns(now time.Time, w *worker, runs []*run, cause LossCause) {
	inherited := s.inheritedRuns[w.hash]
	delete(s.inheritedRuns, w.hash)
	if len(runs) == 0 && len(inherited) == 0 {
		return
	}
	at := w.unresponsiveSince
	if at.IsZero() {
		at = w.silentBefore
	}
	loss := WorkerLoss{Worker: w.info.ID, Cause: cause, Runs: len(runs) + len(inherited), Reported: w.reported}
	if !at.IsZero() {
		loss.Unresponsive = now.Sub(at)
	}
	for _, t := range inherited {
		if len(t.runs) == 0 {
			t.recordOver(now, cause.evidence(), w.info.ID, 0)
		}
	}
	if at.IsZero() {
		at = now
		s.recordOutage(w, at)
	}
	loss.WithRack = s.lostWithRack(w, at)
	blamed := blamed(runs, at)
	for _, r := range runs {
		s.Stats.LostRuns++
		if !r.reported && len(loss.Unreported) < maxLossTasks {
			loss.Unreported = append(loss.Unreported, r.task.id())
		}
		if r.checkpoint != "" {
			r.task.checkpoint = r.checkpoint
		}
		s.releaseRun(now, r, cause.evidence())
	}
	if !loss.WithRack && !w.info.Draining {
		s.recordCrashes(now, w, cause, blamed, inherited)
		s.giveUpJobs(now)
	}
	if len(s.losses) < maxLosses {
		s.losses = append(s.losses, loss)
	}
}

// recordCrashes records the loss of a worker with the tasks of the runs there and of
// those that an earlier owner started.
func (s *State) recordCrashes(now time.Time, w *worker, cause LossCause, runs []*run, inherited []*task) {
	s.pruneCrashes()
	c := crash{worker: w.crashHash(w.lostLife()), restarted: cause == Restarted}
	for _, r := range runs {
		c.early = r.confirmed && !r.reported
		s.recordCrash(now, r.task, c)
	}
	for _, t := range inherited {
		if len(t.runs) > 0 {
			continue // found elsewhere
		}
		c.early = slices.Contains(t.unprovenOn, w.hash)
		s.recordCrash(now, t, c)
	}
}
