package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// SetMembers takes in the whole membership list. Workers that are no longer
// on it keep their runs until these are known to be over.
func (s *State) SetMembers(now time.Time, members []runner.Worker) {
	pools := s.pools()
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.ID] = true
		if m.Malformed || !pools[m.Pool] || s.elsewhere(&m) {
			s.unlist(now, m.ID)
			continue
		}
		s.member(now, m)
	}
	for id, w := range s.workers {
		if !present[id] {
			w.listed = false
			if w.missingSince.IsZero() {
				w.missingSince = now
			}
			s.forget(w, now)
		}
	}
}

// pools returns the pools that a queue of the configuration or an open job is
// for; jobs of a queue that is gone still run.
func (s *State) pools() map[string]bool {
	pools := map[string]bool{}
	for _, q := range s.queues {
		pools[q.Pool] = true
	}
	for _, j := range s.open {
		pools[j.queue.Pool] = true
	}
	return pools
}

// elsewhere reports whether an entry puts a worker whose runs may be alive at
// another address. A life keeps its address, and the answer of another life at a
// wrong one would count as the end of those runs.
func (s *State) elsewhere(m *runner.Worker) bool {
	w := s.workers[m.ID]
	return w != nil && w.info.Address != m.Address && (w.reported || s.awaited[m.ID] != nil)
}

// unlist takes in an entry that names no worker to use. It says nothing of
// whether the worker lives: counted as gone, its runs would be started again
// beside themselves.
func (s *State) unlist(now time.Time, id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.listed, w.missingSince = false, time.Time{}
	s.forget(w, now)
}

// member takes in one entry of the list.
func (s *State) member(now time.Time, m runner.Worker) {
	w := s.workers[m.ID]
	if w == nil {
		w = s.addWorker(m)
		s.rosterChanged[w.rosterPart()] = true
	}
	if !w.listed || w.info.Capacity != m.Capacity || w.info.Draining != m.Draining {
		s.changed(w)
	}
	w.listed, w.missingSince = true, time.Time{}
	used := w.info.Capacity.Sub(w.free)
	wasDraining := w.info.Draining
	w.info = m
	w.free = m.Capacity.Sub(used)
	if m.Draining && !wasDraining {
		w.drainingAt = now
	}
}

// addWorker begins to know a worker. It may be known again: it was taken for
// gone, and comes back with the token that it had seen. A lower one would fence
// its owner off for good.
func (s *State) addWorker(m runner.Worker) *worker {
	w := &worker{
		info: m, mark: workerMark(m.ID), free: m.Capacity, runs: map[workload.TaskID]*run{},
		token: s.topToken,
	}
	s.workers[m.ID], s.sorted = w, nil
	return w
}

// InheritWorker adds a worker of an earlier owner's roster. Until it reports, or
// until any lease that the earlier owner gave is over, runs of inherited jobs
// that no other worker reports may be alive there.
func (s *State) InheritWorker(now time.Time, m runner.Worker) {
	w := s.addWorker(m)
	w.rostered = true
	w.inheritedUntil = now.Add(s.cfg.InheritedLease)
	s.awaited[m.ID] = w
}

// PredecessorStopped takes in that the owner before gives no more orders: what
// it left at silent workers is over after one lease.
func (s *State) PredecessorStopped(now time.Time) {
	over := now.Add(time.Duration(float64(s.cfg.Lease)*(1+clockDrift)) + lostMargin)
	for _, w := range s.awaited {
		if over.Before(w.inheritedUntil) {
			w.inheritedUntil = over
		}
	}
}

// EachWorker visits the IDs of all workers that orders may go to.
func (s *State) EachWorker(visit func(id string)) {
	for _, w := range s.byID() {
		if w.rostered {
			visit(w.info.ID)
		}
	}
}

// byID returns the workers in the order of IDs.
func (s *State) byID() []*worker {
	if s.sorted == nil {
		s.sorted = slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	}
	return s.sorted
}

// HasWorker reports whether the worker is still of interest.
func (s *State) HasWorker(id string) bool { return s.workers[id] != nil }

// forget drops a worker that is no longer listed once nothing can be alive
// there.
func (s *State) forget(w *worker, now time.Time) {
	if w.listed || len(w.runs) > 0 || !w.leaseOver(now) {
		return
	}
	delete(s.workers, w.info.ID)
	s.sorted = nil
	delete(s.awaited, w.info.ID)
	s.rosterChanged[w.rosterPart()] = true
}

// HandleRestart takes in that another life of the worker answered at its address:
// all that ran in the life known is over.
func (s *State) HandleRestart(now time.Time, id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	s.loseRuns(w)
	w.leaseUntil, w.inheritedUntil = 0, time.Time{}
	w.listed = false
	delete(s.awaited, id)
	s.forget(w, now)
}

// loseRuns ends the runs at a worker whose leases are over.
func (s *State) loseRuns(w *worker) {
	for _, r := range slices.Clone(w.inOrder) {
		s.Stats.LostRuns++
		if r.saved != "" {
			r.task.saved = r.saved
		}
		s.release(r)
	}
}

// release takes a run that is over out of its worker and task.
func (s *State) release(r *run) {
	w := r.worker
	s.changed(w)
	w.drop(r)
	r.task.detach(r)
}

// goneAfter is how long an inherited worker may be missing from the list until
// it counts as gone: a worker that lives and reaches the store is listed again
// within two seconds, and the list is read a few times a second.
const goneAfter = 2500 * time.Millisecond

// gone reports whether a worker that hasn't reported to this owner is missing
// from the list for so long that it is gone, and all that ran there.
func (w *worker) gone(now time.Time) bool {
	return !w.reported && !w.missingSince.IsZero() && now.Sub(w.missingSince) >= goneAfter
}

// ExpireLeases ends the runs at silent workers whose leases are over.
func (s *State) ExpireLeases(now time.Time) {
	for id, w := range s.workers {
		if w.gone(now) {
			s.HandleRestart(now, id)
			continue
		}
		if !w.leaseOver(now) {
			continue
		}
		if s.awaited[id] != nil && !w.reported {
			delete(s.awaited, id)
		}
		if w.silent && len(w.runs) > 0 {
			s.loseRuns(w)
		}
		s.forget(w, now)
	}
}
