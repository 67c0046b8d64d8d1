package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

const (
	// forever is longer than any scenario.
	forever = time.Hour
	// restartBound bounds the time from the end of all faults until a task runs: the wait
	// of a new owner for all leases of earlier ones, a takeover and the start.
	restartBound = testLease + ownerValidity + 10*time.Second
)

// newScenario returns a simulation in which a long-running task runs on the worker
// that it also returns; its location is durable.
func newScenario(t *testing.T, hosts, workers int) (*ownerSim, *faultWorker) {
	s := newOwnerSim(t, 1, hosts, workers)
	s.accept(queueShort, "job", step(1, 4, longRunning))
	s.run(4 * time.Second)
	w := s.whereRuns("job")
	if w == nil {
		t.Fatalf("the task doesn't run\n%s", s.traceOf(workload.TaskID{Job: "job"}))
	}
	return s, w
}

// reachedOnlyBy cuts a worker from all hosts but the given one.
func (s *ownerSim) reachedOnlyBy(w *faultWorker, only *simHost) {
	for _, h := range s.hosts {
		if h != only {
			s.cutFromWorker(h, w, s.now.Add(forever))
		}
	}
}

// isolate cuts a host from the store and its peers.
func (s *ownerSim) isolate(h *simHost, d time.Duration) {
	s.cutFromStore(h, s.now.Add(d))
	s.cutFromPeers(h, s.now.Add(d))
}

// replacedBy lets one host take the domain over, and returns once it leads.
func (s *ownerSim) replacedBy(h *simHost) {
	s.t.Helper()
	s.only = h
	s.runUntil(10*time.Second, h.name+" leads", func() bool { return h.owner != nil && s.current() == h.owner })
}

// wantRestart ends all faults and checks that the task runs in one place soon.
func (s *ownerSim) wantRestart() {
	s.t.Helper()
	s.endFaults()
	s.runUntil(restartBound, "the task runs", func() bool { return s.running("job") == 1 })
	s.run(testLease)
	s.wantRuns("job", 1)
}

// TestTaskRunsOnceAcrossOwnersFirstFrozen guards against a second run of a task on
// whose worker the owner before the previous one renews the lease when it wakes.
func TestTaskRunsOnceAcrossOwnersFirstFrozen(t *testing.T) {
	s, w := newScenario(t, 4, 3)
	s.reachedOnlyBy(w, s.hosts[0])
	s.freeze(s.hosts[0], s.now.Add(testLease-500*time.Millisecond))
	s.replacedBy(s.hosts[1])
	s.kill(s.hosts[1])
	s.replacedBy(s.hosts[2])
	s.run(restartBound)
	s.wantRestart()
}

// TestTaskRunsOnceAcrossOwnersFirstCutOff guards against a second run of a task on
// whose worker an owner renews the lease that is cut from the store and its peers,
// while two others follow within one lease.
func TestTaskRunsOnceAcrossOwnersFirstCutOff(t *testing.T) {
	s, w := newScenario(t, 4, 3)
	s.reachedOnlyBy(w, s.hosts[0])
	s.isolate(s.hosts[0], forever)
	s.replacedBy(s.hosts[1])
	s.kill(s.hosts[1])
	s.replacedBy(s.hosts[2])
	s.run(restartBound)
	s.wantRestart()
}

// TestTaskRunsOnceAcrossOwnersThreeKilled guards against the same with a chain of
// killed owners after the one that is cut off.
func TestTaskRunsOnceAcrossOwnersThreeKilled(t *testing.T) {
	s, w := newScenario(t, 5, 3)
	s.reachedOnlyBy(w, s.hosts[0])
	s.isolate(s.hosts[0], forever)
	for _, h := range s.hosts[1:4] {
		s.replacedBy(h)
		s.kill(h)
	}
	s.replacedBy(s.hosts[4])
	s.run(restartBound)
	s.wantRestart()
}

// TestTaskRunsOnceAcrossOwnersPreviousGone guards against a second run if no earlier
// owner ever answers.
func TestTaskRunsOnceAcrossOwnersPreviousGone(t *testing.T) {
	s, w := newScenario(t, 4, 3)
	s.reachedOnlyBy(w, s.hosts[0])
	s.isolate(s.hosts[0], forever)
	s.replacedBy(s.hosts[1])
	s.hosts[1].remove()
	s.replacedBy(s.hosts[2])
	s.run(restartBound)
	s.wantRestart()
}

// TestTaskRunsOnceAcrossOwnersSuccessorRenews guards against an owner that is cut off
// and takes a worker as lost whose lease its successor renews; the store names the
// worker.
func TestTaskRunsOnceAcrossOwnersSuccessorRenews(t *testing.T) {
	s, w := newScenario(t, 3, 4)
	s.splitWorkers(w)
	s.replacedBy(s.hosts[1])
	s.run(restartBound)
	s.wantRestart()
}

// TestTaskRunsOnceAcrossOwnersLocationNotDurable guards against the same with a start
// whose location the first owner has not committed.
func TestTaskRunsOnceAcrossOwnersLocationNotDurable(t *testing.T) {
	s, w := startBeforeCommit(t, longRunning)
	s.splitWorkers(w)
	s.replacedBy(s.hosts[1])
	s.run(restartBound)
	s.wantRestart()
}

// TestTaskRunsOnceAcrossOwnersEndNotedElsewhere guards against an owner that is cut off
// and starts a task again whose end its successor has recorded.
func TestTaskRunsOnceAcrossOwnersEndNotedElsewhere(t *testing.T) {
	s, w := startBeforeCommit(t, func(st *workload.Step) { st.Estimate = 4 * time.Second })
	s.splitWorkers(w)
	s.replacedBy(s.hosts[1])
	s.run(restartBound)
	s.endFaults()
	s.run(restartBound)
	s.wantAllEnded()
}

// splitWorkers isolates the first host, which from now on doesn't reach the rack of
// the worker and is the only one to reach the others.
func (s *ownerSim) splitWorkers(w *faultWorker) {
	s.isolate(s.hosts[0], forever)
	for _, other := range s.workers {
		if other.info.HasLabel(w.info.Labels[1]) {
			s.cutFromWorker(s.hosts[0], other, s.now.Add(forever))
		} else {
			s.reachedOnlyBy(other, s.hosts[0])
		}
	}
}

// startBeforeCommit returns a simulation in which a task has started on the worker
// that it also returns, while a commit without the location is in flight.
func startBeforeCommit(t *testing.T, change func(*workload.Step)) (*ownerSim, *faultWorker) {
	s := newOwnerSim(t, 1, 3, 4)
	s.only = s.hosts[0]
	s.store.commitDelay = time.Second
	s.accept(queueShort, "job", step(1, 4, change))
	s.runUntil(10*time.Second, "the task runs", func() bool { return s.whereRuns("job") != nil })
	return s, s.whereRuns("job")
}

// TestTaskRunsOnceAcrossOwnersOffTheList guards against a second run of a task on a
// worker that is alive but cut from the store, and so off the membership list, while
// an earlier owner renews its lease.
func TestTaskRunsOnceAcrossOwnersOffTheList(t *testing.T) {
	s, w := newScenario(t, 3, 3)
	s.cutWorkerFromStore(w, s.now.Add(forever))
	s.run(listLag + time.Second)
	s.reachedOnlyBy(w, s.hosts[0])
	s.isolate(s.hosts[0], forever)
	s.replacedBy(s.hosts[1])
	s.run(restartBound)
	s.wantRestart()
}

// TestTaskRunsOnceAcrossOwnersOffTheListUnreached guards against a second run of a task
// on such a worker that nobody reaches, before its lease expires.
func TestTaskRunsOnceAcrossOwnersOffTheListUnreached(t *testing.T) {
	s, w := newScenario(t, 3, 3)
	s.cutWorkerFromStore(w, s.now.Add(forever))
	s.run(listLag + time.Second)
	s.reachedOnlyBy(w, nil)
	s.kill(s.hosts[0])
	s.replacedBy(s.hosts[1])
	s.run(restartBound)
	s.wantRestart()
}
