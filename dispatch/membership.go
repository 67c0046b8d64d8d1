package dispatch

import (
	"maps"
	"slices"
	"sort"
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
// that may hold runs, which one that has started again under its ID also may before it
// reports. An incarnation keeps its address; another incarnation's answer at a wrong
// address would count as the end of those runs.
func (s *State) addressConflicts(m *runner.Worker) bool {
	w := s.workers[m.ID]
	return w != nil && w.info.Address != m.Address && (w.reported || w.restarted || s.awaitingReport[m.ID] != nil)
}

// rejectEntry handles an entry that can't be used. Its worker gets no new tasks.
func (s *State) rejectEntry(now time.Time, id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.listed = false
	s.withdrawStarts(now, w)
	s.removeIfExpired(w, now)
}

// updateMember applies one entry of the list.
func (s *State) updateMember(now time.Time, m runner.Worker) {
	w := s.workers[m.ID]
	if w == nil {
		w = s.addWorker(m)
		w.knownSince, s.roster.changed = now, true
		s.markLeased(w)
	}
	if !w.listed || w.info.Capacity != m.Capacity || w.info.Draining != m.Draining {
		s.markChanged(w)
	}
	w.listed = true
	if w.info.Address != m.Address {
		// A later owner asks at the address of the roster, and another worker may be at the old one.
		w.inRoster = false
		s.dirtyRosterParts[w.rosterPart()] = true
	}
	used := w.info.Capacity.Sub(w.free)
	wasDraining := w.info.Draining
	w.info = m
	w.zoneClosed = s.closedZones.Contains(m.Zone)
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
		life: s.newLife(m.Incarnation), info: m, hash: workerHash(m.ID), free: m.Capacity, runs: map[workload.TaskID]*run{},
		token: s.topToken,
	}
	s.workers[m.ID], s.sortedWorkers = w, nil
	return w
}

// InheritWorker adds a worker of an earlier owner's roster. It may hold runs of
// inherited jobs until it reports or all leases are over that earlier owners may have
// given it. epochsKnown is set if the previous owner's row says that the roster tells the
// epochs; otherwise any owner may have given it leases.
func (s *State) InheritWorker(m RosterWorker, epochsKnown bool) {
	w := s.addWorker(m.Worker)
	w.inRoster = true
	w.leasedIn, w.inheritedNewLife = m.LeasedIn, m.NewLife
	if !epochsKnown {
		w.leasedIn = 0
		s.dirtyRosterParts[w.rosterPart()] = true
	}
	w.inheritedUntil = s.inheritedEnd(w)
	s.awaitingReport[m.ID] = w
	s.roster.inherited++
}

// EachWorker visits the IDs of all workers that may get orders, in order, from the one
// that follows the ID after on; after the last it goes on with the first. It ends early
// once visit returns false.
func (s *State) EachWorker(after string, visit func(id string) bool) {
	workers := s.byID()
	first := sort.Search(len(workers), func(i int) bool { return workers[i].info.ID > after })
	for i := range workers {
		w := workers[(first+i)%len(workers)]
		if w.inRoster && !visit(w.info.ID) {
			return
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

// RemovedWorkers returns the number of workers removed so far. While it stays, a worker that
// was known still is.
func (s *State) RemovedWorkers() uint64 { return s.removedWorkers }

// HasWorker reports whether the worker is known.
func (s *State) HasWorker(id string) bool { return s.workers[id] != nil }

// removeIfExpired removes an unlisted worker, also from the roster, once no run
// can be alive there. ExpireLeases first records the loss of one that never reported.
func (s *State) removeIfExpired(w *worker, now time.Time) {
	if w.listed || len(w.runs) > 0 || !w.leaseExpired(now, s.leaseExcess()) || s.awaitingReport[w.info.ID] != nil {
		return
	}
	// Orders to it may still be carried out. If it is listed again, they are refused once it
	// has seen its next token.
	s.topToken = max(s.topToken, w.token+1)
	delete(s.workers, w.info.ID)
	s.sortedWorkers = nil
	s.removedWorkers++
	s.roster.changed = true
	s.removedUnwritten[w.rosterPart()]++
	s.dirtyRosterParts[w.rosterPart()] = true
}

// HandleRestart records that another incarnation of the worker answered at its
// address. The known incarnation has terminated: its runs and leases have ended,
// and it is removed.
func (s *State) HandleRestart(now time.Time, id string) {
	if w := s.workers[id]; w != nil {
		s.dropLostRuns(now, w, Restarted)
		w.leaseUntil, w.inheritedUntil = 0, time.Time{}
		w.listed = false
		if s.awaitingReport[id] != nil {
			delete(s.awaitingReport, id)
			s.awaitedLostAt = now
			s.assumeStarts(w)
		}
		s.removeIfExpired(w, now)
	}
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

// ExpireLeases ends the runs of workers that are suspected, or haven't reported to
// this owner, and whose leases have expired. An expired lease counts only once the
// ownership was confirmed since: until then, a successor may have renewed it. A worker
// that is missing from the membership list may be cut off from the table service and
// go on under its lease.
func (s *State) ExpireLeases(now time.Time) {
	for _, w := range s.byID() {
		id := w.info.ID
		if !w.leaseExpired(now, s.leaseExcess()) {
			w.leaseOverAt, w.longestOverAt = time.Time{}, time.Time{}
			continue
		}
		unreported := s.awaitingReport[id] != nil && !w.reported
		if unreported || (w.suspected && len(w.runs) > 0) {
			if !s.leaseOver(now, w) {
				continue
			}
			if unreported {
				s.assumeStarts(w)
			}
			delete(s.awaitingReport, id)
			s.dropRuns(now, w, s.expiredRuns(now, w), LeaseExpired)
		}
		s.removeIfExpired(w, now)
	}
}
