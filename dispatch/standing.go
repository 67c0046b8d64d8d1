package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

const (
	// standingAfter is how long a long-running task has to be without a run that works before
	// it is reported: longer than an undisturbed restart takes, once its worker's lease is over.
	standingAfter = 3 * time.Second
	// maxStandingReports bounds the tasks reported at a time, so that the loss of a rack doesn't
	// fill the log.
	maxStandingReports = 8
)

// StandingCheck is the check that stops a long-running task from running.
type StandingCheck string

// The checks. Where a task without a run waits for a worker, the check is the name of a WaitCause.
const (
	// CheckLease: the leases of its run's worker, which doesn't answer, may last.
	CheckLease StandingCheck = "lease"
	// CheckLongestLease: a start got no answer, and the worker may have started again since.
	CheckLongestLease StandingCheck = "longest_lease"
	// CheckInheritedLease: the leases of a worker that hasn't answered this owner may last.
	CheckInheritedLease StandingCheck = "inherited_lease"
	// CheckInheritedWorkers: the store names no worker, and not all have answered this owner.
	CheckInheritedWorkers StandingCheck = "inherited_workers"
	// CheckCommit: a commit has to show first that nobody has replaced the owner.
	CheckCommit StandingCheck = "commit"
	// CheckLocation: the store has to have the new location, or the end of the last, first.
	CheckLocation StandingCheck = "location"
	// CheckStart: its start isn't answered.
	CheckStart StandingCheck = "start"
	// CheckCrashes: too many workers crashed under it.
	CheckCrashes StandingCheck = "crashes"
)

// StandingTask is a long-running task that has no run which is known to work.
type StandingTask struct {
	Task workload.TaskID
	// For is how long it has been so, as far as this owner knows.
	For   time.Duration
	Check StandingCheck
	// Worker and Run are its last ones, empty and 0 if unknown.
	Worker string
	Run    uint64
	// Left is how long the check still holds at most, 0 if unknown.
	Left time.Duration
	// Epochs are those of the owners whose leases it waits for, this owner's included.
	Epochs []uint64
}

// StandingTasks describes the changes since the last call.
type StandingTasks struct {
	// Standing are the tasks found to stand, Resumed those reported as such that run again.
	Standing, Resumed []StandingTask
	// More counts further tasks that were found to stand.
	More int
}

// standing is what is known of a task that stands.
type standing struct {
	since    time.Time
	reported bool
}

// TakeStandingTasks returns and clears what the last call of AttributeTime found.
func (s *State) TakeStandingTasks() StandingTasks {
	found := s.standingFound
	s.standingFound = StandingTasks{}
	return found
}

// findStanding finds which long-running tasks stand for standingAfter since the last call, and
// which run again. causes are those of the waiting steps, as of now.
func (s *State) findStanding(now time.Time, causes map[*step]WaitCause) StandingTasks {
	var found StandingTasks
	maps.DeleteFunc(s.standing, func(t *task, _ *standing) bool { return t.step.job.state.Final() })
	for _, j := range s.open {
		if !j.longRunning {
			continue
		}
		j.eachTask(func(t *task) {
			if t.shouldRun(now) {
				s.observeStanding(now, t, causes, &found)
			}
		})
	}
	slices.SortFunc(found.Standing, func(a, b StandingTask) int { return cmp.Compare(b.For, a.For) })
	if n := len(found.Standing) - maxStandingReports; n > 0 {
		found.Standing, found.More = found.Standing[:maxStandingReports], n
	}
	return found
}

// observeStanding updates what is known of one task.
func (s *State) observeStanding(now time.Time, t *task, causes map[*step]WaitCause, found *StandingTasks) {
	known := s.standing[t]
	switch {
	case t.works():
		if known != nil && known.reported && len(found.Resumed) < maxStandingReports {
			r := t.runs[0]
			found.Resumed = append(found.Resumed, StandingTask{
				Task: t.id(), For: r.confirmedAt.Sub(known.since), Worker: r.worker.info.ID, Run: r.number,
			})
		}
		delete(s.standing, t)
		return
	case known == nil:
		known = &standing{since: t.silentSince(now)}
		s.standing[t] = known
	}
	if known.reported || now.Sub(known.since) < standingAfter {
		return
	}
	known.reported = true
	st := s.standingCheck(now, t, causes)
	st.Task, st.For = t.id(), now.Sub(known.since)
	found.Standing = append(found.Standing, st)
}

// shouldRun reports whether the turn of a long-running task has come.
func (t *task) shouldRun(now time.Time) bool {
	st := t.step
	return st.spec.LongRunning && !t.done && st.blockedBy == 0 && !st.occurrence.due.After(now) && st.job.rowStored
}

// works reports whether a run of the task is known to be alive on a worker that answers.
func (t *task) works() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.confirmed && r.worker.unresponsiveSince.IsZero() })
}

// silentSince returns since when the task is known to have no run that works.
func (t *task) silentSince(now time.Time) time.Time {
	since := now
	earlier := func(at time.Time) {
		if !at.IsZero() && at.Before(since) {
			since = at
		}
	}
	for _, r := range t.runs {
		earlier(r.worker.unresponsiveSince)
	}
	earlier(t.ranBefore.at)
	return since
}

// standingCheck returns the check that stops a task which stands.
func (s *State) standingCheck(now time.Time, t *task, causes map[*step]WaitCause) StandingTask {
	if len(t.runs) > 0 {
		return s.checkOfRun(now, t.runs[len(t.runs)-1])
	}
	found := StandingTask{Worker: t.ranBefore.worker, Run: t.ranBefore.run}
	switch {
	case t.exhausted(), t.pausedAfterCrash(now):
		found.Check = CheckCrashes
	case t.step.job.inherited && !t.inheritanceResolved:
		s.checkOfInherited(now, t, &found)
	case len(t.locations) > 0:
		found.Check = CheckLocation
	default:
		found.Check = StandingCheck(causes[t.step].String())
	}
	return found
}

// checkOfRun returns the check that a task waits for whose last run may be alive.
func (s *State) checkOfRun(now time.Time, r *run) StandingTask {
	w := r.worker
	found := StandingTask{Worker: w.info.ID, Run: r.number}
	switch {
	case r.held:
		found.Check = CheckLocation
	case w.unresponsiveSince.IsZero():
		found.Check = CheckStart
	case !w.leaseExpired(now, s.leaseExcess()):
		found.Check, found.Epochs = CheckLease, []uint64{s.cfg.Epoch}
		if !w.clockAt.IsZero() {
			found.Left = max(w.leaseOverBy().Sub(now), 0)
		}
	case !r.confirmed && !s.longestLeaseOver(now, w):
		found.Check, found.Epochs = CheckLongestLease, []uint64{s.cfg.Epoch}
		found.Left = max(w.leaseOverBy().Add(s.leaseExcess()).Sub(now), 0)
	default:
		found.Check = CheckCommit
	}
	return found
}

// checkOfInherited adds the check that a task of an earlier owner waits for.
func (s *State) checkOfInherited(now time.Time, t *task, found *StandingTask) {
	found.Check = CheckCommit
	for _, w := range s.byID() {
		awaited := s.awaitingReport[w.info.ID] != nil && (len(t.locations) == 0 || slices.Contains(t.locations, w.hash))
		if !awaited {
			continue
		}
		found.Check, found.Worker = CheckInheritedLease, w.info.ID
		if len(t.locations) == 0 {
			found.Check, found.Worker = CheckInheritedWorkers, ""
		}
		if left := w.inheritedUntil.Sub(now); left > found.Left {
			found.Left, found.Epochs = left, s.epochsUntil(w)
		}
	}
}

// epochsUntil returns the epochs of the earlier owners whose leases a worker may hold the
// longest.
func (s *State) epochsUntil(w *worker) []uint64 {
	var epochs []uint64
	for _, o := range s.earlierOrders {
		if (w.leasedIn == 0 || o.Epoch <= w.leasedIn) && !o.leasesEnd(s.cfg.Lease).Before(w.inheritedUntil) {
			epochs = append(epochs, o.Epoch)
		}
	}
	return epochs
}
