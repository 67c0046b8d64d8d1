package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// SetMembers applies the complete membership list. Workers that are no longer
// on it keep their runs until these are known to have ended.
func (s *State) SetMembers(now time.Time, members []runner.Worker) {
	pools := s.usedPools()
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.ID] = true
		if m.Malformed || !pools[m.Pool] || s.addressConflicts(&m) {
			s.rejectEntry(now, m.ID)
			continue
		}
		s.updateMember(now, m)
	}
	for id, w := range s.workers {
		if !present[id] {
			w.listed = false
			s.withdrawStarts(now, w)
			if w.missingSince.IsZero() {
				w.missingSince = now
			}
			s.removeIfExpired(w, now)
		}
	}
}

// usedPools returns the pools of the configured queues and of the open jobs. A
// job keeps its pool when its queue is removed.
func (s *State) usedPools() map[string]bool {
	pools := map[string]bool{}
	for _, q := range s.queues {
		pools[q.Pool] = true
	}
	for _, j := range s.open {
		pools[j.queue.Pool] = true
	}
	return pools
}

// addressConflicts reports whether an entry changes the address of a worker
// that may hold runs. An incarnation keeps its address; another incarnation's
// answer at a wrong address would count as the end of those runs.
func (s *State) addressConflicts(m *runner.Worker) bool {
	w := s.workers[m.ID]
	return w != nil && w.info.Address != m.Address && (w.reported || s.awaitingReport[m.ID] != nil)
}

// rejectEntry handles an entry that can't be used. Its worker gets no new tasks.
// As it may still be alive, it doesn't count as missing from the list, since its
// tasks would then be started a second time.
func (s *State) rejectEntry(now time.Time, id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.listed, w.missingSince = false, time.Time{}
	s.withdrawStarts(now, w)
	s.removeIfExpired(w, now)
}

// updateMember applies one entry of the list.
func (s *State) updateMember(now time.Time, m runner.Worker) {
	w := s.workers[m.ID]
	if w == nil {
		w = s.addWorker(m)
		w.knownSince = now
		s.dirtyRosterParts[w.rosterPart()] = true
	}
	if !w.listed || w.info.Capacity != m.Capacity || w.info.Draining != m.Draining {
		s.markChanged(w)
	}
	w.listed, w.missingSince = true, time.Time{}
	used := w.info.Capacity.Sub(w.free)
	wasDraining := w.info.Draining
	w.info = m
	w.free = m.Capacity.Sub(used)
	if m.Draining && !wasDraining {
		w.drainingAt = now
		s.withdrawStarts(now, w)
	}
}

// addWorker adds a worker. It begins with the highest token given so far: a
// returning worker would refuse orders under a lower token than it has seen.
func (s *State) addWorker(m runner.Worker) *worker {
	w := &worker{
		info: m, hash: workerHash(m.ID), free: m.Capacity, runs: map[workload.TaskID]*run{},
		token: s.topToken,
	}
	s.workers[m.ID], s.sortedWorkers = w, nil
	return w
}

// InheritWorker adds a worker of an earlier owner's roster. It may hold runs of
// inherited jobs until it reports or all leases given by the earlier owner have
// expired.
func (s *State) InheritWorker(now time.Time, m runner.Worker) {
	w := s.addWorker(m)
	w.inRoster = true
	w.inheritedUntil = now.Add(s.cfg.InheritedLease)
	s.awaitingReport[m.ID] = w
}

// PredecessorStopped records that the previous owner gives no more orders, so
// that its leases expire one lease from now. It returns the number of workers
// that are still waited for.
func (s *State) PredecessorStopped(now time.Time) int {
	expiry := now.Add(time.Duration(float64(s.cfg.Lease)*(1+maxClockDrift)) + leaseExpiryMargin)
	for _, w := range s.awaitingReport {
		if expiry.Before(w.inheritedUntil) {
			w.inheritedUntil = expiry
		}
	}
	return len(s.awaitingReport)
}

// EachWorker visits, in order, the IDs of all workers that may get orders.
func (s *State) EachWorker(visit func(id string)) {
	for _, w := range s.byID() {
		if w.inRoster {
			visit(w.info.ID)
		}
	}
}

// byID returns the workers in order of their IDs.
func (s *State) byID() []*worker {
	if s.sortedWorkers == nil {
		s.sortedWorkers = slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	}
	return s.sortedWorkers
}

// HasWorker reports whether the worker is known.
func (s *State) HasWorker(id string) bool { return s.workers[id] != nil }

// removeIfExpired removes an unlisted worker, also from the roster, once no run
// can be alive there.
func (s *State) removeIfExpired(w *worker, now time.Time) {
	if w.listed || len(w.runs) > 0 || !w.leaseExpired(now) {
		return
	}
	delete(s.workers, w.info.ID)
	s.sortedWorkers = nil
	delete(s.awaitingReport, w.info.ID)
	s.dirtyRosterParts[w.rosterPart()] = true
}

// HandleRestart records that another incarnation of the worker answered at its
// address. The known incarnation has terminated: its runs and leases have ended,
// and it is removed.
func (s *State) HandleRestart(now time.Time, id string) {
	if w := s.workers[id]; w != nil {
		s.removeTerminated(now, w, Restarted)
	}
}

// removeTerminated removes a worker that has terminated, with its runs and leases.
func (s *State) removeTerminated(now time.Time, w *worker, cause LossCause) {
	s.dropLostRuns(now, w, cause)
	w.leaseUntil, w.inheritedUntil = 0, time.Time{}
	w.listed = false
	delete(s.awaitingReport, w.info.ID)
	s.removeIfExpired(w, now)
}

// releaseRun removes an ended run from its worker and task. A start of it that can be
// withdrawn isn't sent any more.
func (s *State) releaseRun(now time.Time, r *run, evidence EndEvidence) {
	r.withdraw()
	w := r.worker
	s.markChanged(w)
	w.removeRun(r)
	r.task.detach(r)
	r.task.recordOver(now, evidence, w.info.ID, r.number)
}

// departedAfter is how long an inherited worker must be missing from the list
// to count as departed. It exceeds the time in which a live worker is listed
// again.
const departedAfter = 2500 * time.Millisecond

// departed reports whether a worker that hasn't reported to this owner has been
// missing from the list long enough to count as departed, with all its runs.
func (w *worker) departed(now time.Time) bool {
	return !w.reported && !w.missingSince.IsZero() && now.Sub(w.missingSince) >= departedAfter
}

// ExpireLeases ends the runs of suspected workers whose leases have expired,
// and removes workers that have departed.
func (s *State) ExpireLeases(now time.Time) {
	for id, w := range s.workers {
		if w.departed(now) {
			s.removeTerminated(now, w, Departed)
			continue
		}
		if !w.leaseExpired(now) {
			continue
		}
		unreported := s.awaitingReport[id] != nil && !w.reported
		if unreported {
			delete(s.awaitingReport, id)
		}
		if unreported || (w.suspected && len(w.runs) > 0) {
			s.dropLostRuns(now, w, LeaseExpired)
		}
		s.removeIfExpired(w, now)
	}
}
