package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

const (
	// crashDelay is how long after its start a task crashes its worker.
	crashDelay = 10 * time.Millisecond
	// restartDelay is how long after a crash the worker is back in another
	// incarnation.
	restartDelay = 3500 * time.Millisecond
	// maxStartsAfterCrashes is the number of starts of a task that are allowed after
	// crashesBeforeLimit workers have crashed under it.
	maxStartsAfterCrashes = 2
	crashesBeforeLimit    = 3
)

// crashSim is a faultSim without random faults in which some tasks crash each worker
// that starts them.
type crashSim struct {
	*faultSim
	// delay is how long after its start a task in crashers crashes its worker; crashes
	// counts the workers crashed by each, startsAfter its starts after
	// crashesBeforeLimit of them.
	delay                time.Duration
	crashers             map[workload.TaskID]bool
	crashes, startsAfter map[workload.TaskID]int
	// ended holds the final states of jobs, as they are forgotten after a while.
	ended map[string]workload.State
}

// newCrashSim returns a simulation with the given number of workers, which have been
// polled.
func newCrashSim(t *testing.T, seed uint64, workers int) *crashSim {
	s := &crashSim{
		faultSim: newFaultSim(t, seed), delay: crashDelay, crashers: map[workload.TaskID]bool{},
		crashes: map[workload.TaskID]int{}, startsAfter: map[workload.TaskID]int{}, ended: map[string]workload.State{},
	}
	s.noFaults = true
	for len(s.workers) < workers {
		s.addWorker()
	}
	s.started = s.crash
	s.run(time.Second)
	return s
}

// crash is called after each start and crashes the worker if the task does that.
func (s *crashSim) crash(w *faultWorker, id workload.TaskID) {
	if !s.crashers[id] {
		return
	}
	if s.crashes[id] >= crashesBeforeLimit {
		s.startsAfter[id]++
	}
	s.crashes[id]++
	s.after(s.delay, func() {
		if w.terminatedAt.IsZero() {
			w.terminate(s.now, false)
			s.after(restartDelay, func() {
				w.restarted = s.random.IntN(2) == 0 // the other half comes back at another address
				s.addWorker()
			})
		}
	})
}

// watch runs the simulation for d and records the final states of jobs.
func (s *crashSim) watch(d time.Duration) {
	for ; d > 0; d -= time.Second {
		s.run(time.Second)
		for _, j := range s.jobs {
			if state, ok := s.state.JobState(j.ID); ok && state.Final() {
				s.ended[j.ID] = state
			}
		}
	}
}

// wantEnd checks the final state of a job.
func (s *crashSim) wantEnd(id string, want workload.State) {
	s.t.Helper()
	if got, ok := s.ended[id]; !ok || got != want {
		s.t.Errorf("job %s ended as %v (ended: %v), want %v", id, got, ok, want)
	}
}

// submitWithCrasher submits a job of n tasks, the one with the given index a crasher.
func (s *crashSim) submitWithCrasher(id string, n, index int, change ...func(*workload.Step)) {
	s.accept(queueShort, id, step(n, 2, change...))
	s.crashers[workload.TaskID{Job: id, Index: index}] = true
}

// checkGivenUp checks that every job with a crasher has failed within the allowed
// starts.
func (s *crashSim) checkGivenUp() {
	s.t.Helper()
	for id := range s.crashers {
		if n := s.startsAfter[id]; n > maxStartsAfterCrashes {
			s.t.Errorf("%v was started %d times after %d workers had crashed under it, want %d at the most", id, n, crashesBeforeLimit, maxStartsAfterCrashes)
		}
		s.wantEnd(id.Job, workload.Failed)
	}
}

// TestCrashingTaskIsGivenUp guards against a task that crashes one worker after
// another without an end, whoever owns the domain meanwhile and whatever the kind of
// its step.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	for name, change := range map[string]func(*workload.Step){
		"plain":       func(*workload.Step) {},
		"best effort": func(st *workload.Step) { st.BestEffort, st.Image = true, "batch" },
		"gang":        func(st *workload.Step) { st.Gang = true },
		"speculative": func(st *workload.Step) { st.Speculative = true },
	} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				s := newCrashSim(t, seed, 12)
				if seed >= 4 {
					s.delay = 700 * time.Millisecond
				}
				s.submitWithCrasher("crash", 4, int(seed%4), change)
				for range 12 {
					s.watch(s.between(2*time.Second, 8*time.Second))
					if seed%2 == 1 {
						s.replaceOwner()
					}
				}
				s.checkGivenUp()
			})
		}
	}
}

// TestCrashingLongRunningTaskIsPaced guards against a long-running job that is given up since workers
// crashed under one of its tasks, though such tasks are to start again however they end, against
// one that crashes workers as fast as they come back, and against its neighbours' not running.
func TestCrashingLongRunningTaskIsPaced(t *testing.T) {
	const pause = 2 * time.Second
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newCrashSim(t, seed, 12)
			if seed >= 4 {
				s.delay = 700 * time.Millisecond
			}
			crasher := workload.TaskID{Job: "crash", Index: int(seed % 4)}
			s.submitWithCrasher(crasher.Job, 4, crasher.Index, longRunning)
			begun := s.now
			for range 12 {
				s.watch(s.between(2*time.Second, 8*time.Second))
				if seed%2 == 1 {
					s.replaceOwner()
				}
			}
			if limit := 2 + int(s.now.Sub(begun)/pause); s.crashes[crasher] > limit || s.crashes[crasher] <= maxStartsAfterCrashes+crashesBeforeLimit {
				t.Errorf("the task crashed %d workers in %v, want more than are allowed others and at most %d", s.crashes[crasher], s.now.Sub(begun), limit)
			}
			s.wantState(crasher.Job, workload.InProgress)
			delete(s.crashers, crasher)
			s.watch(20 * time.Second)
			if n := s.running(crasher.Job); n != 4 {
				t.Errorf("%d tasks run once it crashes no worker any more, want 4", n)
			}
		})
	}
}

// TestNeighborsOfCrashingTaskFinish guards against jobs that are given up because
// their tasks were on workers that other tasks crashed.
func TestNeighborsOfCrashingTaskFinish(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newCrashSim(t, seed, 8)
			s.accept(queueShort, "lasting", step(8, 2, longRunning))
			for i := range 12 {
				if i%3 == 0 {
					s.submitWithCrasher(fmt.Sprint("crash", i), 4, i%4)
				}
				s.accept(queueLong, fmt.Sprint("other", i), step(6, 2))
				s.watch(s.between(testTick, 2*time.Second)) // at least a second: both are stored
				if seed%2 == 1 && i%4 == 3 {
					s.replaceOwner()
				}
			}
			s.watch(90 * time.Second)
			s.checkGivenUp()
			for i := range 12 {
				s.wantEnd(fmt.Sprint("other", i), workload.Complete)
			}
			s.wantState("lasting", workload.InProgress)
		})
	}
}

// TestCutOffWorkersAreNotCrashes guards against a task that is given up because
// workers that still run were cut off while they had it.
func TestCutOffWorkersAreNotCrashes(t *testing.T) {
	s := newCrashSim(t, 1, 6)
	cut := 0
	s.started = func(w *faultWorker, _ workload.TaskID) {
		if cut < 8 {
			cut++
			w.unreachableUntil = s.now.Add(12 * time.Second)
		}
	}
	s.accept(queueShort, "job", step(1, 2))
	s.watch(150 * time.Second)
	s.wantEnd("job", workload.Complete)
}

// TestRackOutagesAreNotCrashes guards against a task that is given up because whole
// racks were lost while it ran there.
func TestRackOutagesAreNotCrashes(t *testing.T) {
	s := newCrashSim(t, 1, 0)
	s.workers = nil
	addRack := func(name string) {
		for range 3 {
			s.addWorker()
			s.workers[len(s.workers)-1].info.Labels = []string{"kind", name}
		}
	}
	addRack("rack-a")
	addRack("rack-b")
	outages := 0
	s.started = func(w *faultWorker, _ workload.TaskID) {
		if outages >= 8 {
			return
		}
		outages++
		rack := w.info.Labels[1]
		for _, mate := range s.alive() {
			if mate.info.Labels[1] == rack {
				mate.terminate(s.now, false)
			}
		}
		s.after(restartDelay, func() { addRack(rack) })
	}
	s.run(time.Second)
	s.accept(queueShort, "job", step(1, 2))
	s.watch(150 * time.Second)
	s.wantEnd("job", workload.Complete)
}

// TestLongRunningTaskOutlivesWorkers guards against a long-running task that is given
// up because many workers were lost under it in the course of time.
func TestLongRunningTaskOutlivesWorkers(t *testing.T) {
	s := newCrashSim(t, 1, 4)
	s.accept(queueShort, "lasting", step(1, 2, longRunning))
	for range 10 {
		s.run(30 * time.Second)
		for _, w := range s.alive() {
			if len(w.runs) > 0 {
				w.terminate(s.now, false)
				s.addWorker()
			}
		}
	}
	s.run(30 * time.Second)
	s.wantState("lasting", workload.InProgress)
	if n := s.running("lasting"); n != 1 {
		t.Errorf("%d runs, want one", n)
	}
}
