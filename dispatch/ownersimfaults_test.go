package dispatch_test

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// Probabilities of random events: of runs and commits each time, of the others at each
// tick.
const (
	failingRun       = 0.03
	slowRun          = 0.2
	lostCommitAnswer = 0.03
	lostNoticeAnswer = 0.1
	earlyTakeover    = 0.0005
	hostFault        = 0.03
	newOwnerFault    = 0.3
	workerFault      = 0.002
	storeFault       = 0.002
)

// slowRunFactor is how much longer a slow run takes.
const slowRunFactor = 8

// longestFault is the longest time of a host's fault. Some last longer than an owner's
// validity.
const longestFault = ownerValidity + testLease

// hostsKept is the number of hosts that are never removed.
const hostsKept = 3

// injectOwnerFaults causes random faults.
func (s *ownerSim) injectOwnerFaults() {
	if s.noFaults {
		return
	}
	if s.chance(hostFault) {
		h := s.hosts[s.random.IntN(len(s.hosts))]
		if o := s.current(); o != nil && s.random.IntN(2) == 0 {
			h = o.host
		}
		s.faultHost(h)
	}
	for _, w := range s.alive() {
		if s.returns != nil && s.chance(returnFault) {
			s.disturbLife(w)
		}
		if s.chance(workerFault) {
			s.faultWorkerAtRandom(w)
		}
	}
	if s.chance(storeFault) {
		s.storeDownUntil = s.now.Add(s.between(time.Second, 8*time.Second))
		s.tracef(workload.TaskID{}, "the store is down for %.1f s", s.storeDownUntil.Sub(s.now).Seconds())
	}
}

// faultHost causes a random fault of a host. A frozen or isolated host often is the
// only one that reaches some workers.
func (s *ownerSim) faultHost(h *simHost) {
	if !h.alive(s.now) {
		return
	}
	until := s.now.Add(s.between(time.Second, 6*time.Second))
	if s.random.IntN(3) == 0 {
		until = s.now.Add(s.between(time.Second, longestFault))
	}
	switch kind := s.random.IntN(16); {
	case kind < 3:
		s.freeze(h, until)
		s.cutWorkersFromOthers(h, until)
	case kind < 7:
		s.kill(h)
	case kind < 8:
		s.removeHost(h)
	case kind < 9:
		s.cutFromStore(h, until)
	case kind < 10:
		s.cutFromPeers(h, until)
	case kind < 14:
		s.cutFromStore(h, until)
		s.cutFromPeers(h, until)
		s.cutWorkersFromOthers(h, until)
	default:
		for _, w := range s.someWorkers() {
			s.cutFromWorker(h, w, until)
		}
	}
}

// someWorkers returns about a third of the workers.
func (s *ownerSim) someWorkers() []*faultWorker {
	return slices.DeleteFunc(s.alive(), func(*faultWorker) bool { return s.random.IntN(3) > 0 })
}

// cutWorkersFromOthers cuts some workers from all hosts but one, and some others from
// that host.
func (s *ownerSim) cutWorkersFromOthers(h *simHost, until time.Time) {
	for _, w := range s.someWorkers() {
		s.reachedOnlyBy(w, h, until)
	}
	for _, w := range s.someWorkers() {
		s.cutFromWorker(h, w, until)
	}
}

// removeHost removes a host for good, unless too few would remain.
func (s *ownerSim) removeHost(h *simHost) {
	n := 0
	for _, other := range s.hosts {
		if !other.gone {
			n++
		}
	}
	if n > hostsKept {
		h.remove()
		s.tracef(workload.TaskID{}, "%s is gone", h.name)
	}
}

// faultWorkerAtRandom causes a random fault of a worker.
func (s *ownerSim) faultWorkerAtRandom(w *faultWorker) {
	switch kind := s.random.IntN(8); {
	case kind < 2:
		w.unreachableUntil = s.now.Add(s.between(time.Second, 12*time.Second))
		s.tracef(workload.TaskID{}, "%s is unreachable for %.1f s", w.info.ID, w.unreachableUntil.Sub(s.now).Seconds())
	case kind < 5:
		s.cutWorkerFromStore(w, s.now.Add(s.between(2*time.Second, 15*time.Second)))
	case kind < 7:
		w.terminate(s.now, s.random.IntN(2) == 0)
		s.addWorkerInRack()
		s.tracef(workload.TaskID{}, "%s terminates", w.info.ID)
	case w.leavesAt.IsZero():
		w.leavesAt = s.now.Add(s.between(2*time.Second, 6*time.Second))
		s.addWorkerInRack()
	}
}

// freeze stops a host's process, which goes on later.
func (s *ownerSim) freeze(h *simHost, until time.Time) {
	h.frozenUntil = until
	s.tracef(workload.TaskID{}, "%s is frozen for %.1f s", h.name, until.Sub(s.now).Seconds())
}

// kill ends a host's process; a new one follows.
func (s *ownerSim) kill(h *simHost) {
	h.kill(s.now)
	s.tracef(workload.TaskID{}, "%s is killed", h.name)
}

// cutFromStore cuts a host's link to the store.
func (s *ownerSim) cutFromStore(h *simHost, until time.Time) {
	h.cutFromStoreUntil = until
	s.tracef(workload.TaskID{}, "%s is cut from the store for %.1f s", h.name, until.Sub(s.now).Seconds())
}

// cutFromPeers cuts a host's links to the other hosts.
func (s *ownerSim) cutFromPeers(h *simHost, until time.Time) {
	h.cutFromPeersUntil = until
	s.tracef(workload.TaskID{}, "%s is cut from its peers for %.1f s", h.name, until.Sub(s.now).Seconds())
}

// cutFromWorker cuts the link between a host and a worker.
func (s *ownerSim) cutFromWorker(h *simHost, w *faultWorker, until time.Time) {
	h.cutFromWorkersUntil[w.info.ID] = until
	s.tracef(workload.TaskID{}, "%s is cut from %s for %.1f s", h.name, w.info.ID, until.Sub(s.now).Seconds())
}

// reachedOnlyBy cuts the links between a worker and all hosts but one; a nil host cuts
// all of them.
func (s *ownerSim) reachedOnlyBy(w *faultWorker, only *simHost, until time.Time) {
	name := "none"
	for _, h := range s.hosts {
		if h != only {
			h.cutFromWorkersUntil[w.info.ID] = until
		} else {
			name = h.name
		}
	}
	s.tracef(workload.TaskID{}, "%s is reached by %s of the hosts for %.1f s", w.info.ID, name, until.Sub(s.now).Seconds())
}

// cutWorkerFromStore cuts a worker's link to the store, so that its entry on the
// membership list lapses.
func (s *ownerSim) cutWorkerFromStore(w *faultWorker, until time.Time) {
	s.members.entry(w.info.ID, s.now).cutUntil = until
	s.tracef(workload.TaskID{}, "%s is cut from the store for %.1f s", w.info.ID, until.Sub(s.now).Seconds())
}

// endFaults ends all faults.
func (s *ownerSim) endFaults() {
	s.noFaults, s.only, s.storeDownUntil, s.store.commitDelay = true, nil, s.now, 0
	for _, h := range s.hosts {
		h.restoreLinks(s.now)
	}
	for _, w := range s.workers {
		w.unreachableUntil = s.now
		s.members.entry(w.info.ID, s.now).cutUntil = s.now
	}
	s.tracef(workload.TaskID{}, "all faults end")
}
