package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// innocentSeeds are seeds of two lines: in the first a job was given up with a worker among the
// losses that was only cut off, in the second all its workers crash by themselves.
var innocentSeeds = []uint64{
	32, 1003, 1061, 1507, 1728, 1804,
	269, 273, 310, 345, 477, 559, 763,
}

const (
	// crashesBeforeCutOff is the number of workers that crash under a task before one is
	// cut off for cutOffPastLease: longer than its lease.
	crashesBeforeCutOff = 3
	cutOffPastLease     = 9 * time.Second
	// reportedAfter is how long after its start a run has been reported.
	reportedAfter = 2 * time.Second
)

// TestCutOffAfterCrashesIsNoCrash guards against a job that is given up because a worker
// was cut off past its lease, although it answers again in the same incarnation.
func TestCutOffAfterCrashesIsNoCrash(t *testing.T) {
	s := newCrashSim(t, 1, 6)
	starts := 0
	s.started = func(w *faultWorker, _ workload.TaskID) {
		starts++
		switch {
		case starts <= crashesBeforeCutOff:
			s.after(reportedAfter, func() {
				w.terminate(s.now, false)
				s.addWorker()
			})
		case starts == crashesBeforeCutOff+1:
			s.after(reportedAfter, func() { w.unreachableUntil = s.now.Add(cutOffPastLease) })
		}
	}
	s.accept(queueShort, "lasting", step(1, 2, longRunning))
	s.watch(90 * time.Second)
	s.wantState("lasting", workload.InProgress)
	if starts <= crashesBeforeCutOff {
		t.Errorf("%d starts: no worker was cut off", starts)
	}
}

// TestFaultsGiveNoInnocentJobUp guards against jobs that fail because workers are cut
// off, leave or crash by themselves again and again while tasks start there: in this
// simulation no task crashes its worker.
func TestFaultsGiveNoInnocentJobUp(t *testing.T) {
	for _, seed := range innocentSeeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			for id, reason := range givenUpUnderFaults(t, seed) {
				t.Errorf("%s was given up: %s", id, reason)
			}
		})
	}
}

// givenUpUnderFaults simulates a seed and returns the jobs that stayed failed because
// workers crashed, with their reasons.
func givenUpUnderFaults(t *testing.T, seed uint64) map[string]string {
	s := newFaultSim(t, seed)
	givenUp := map[string]string{}
	watch := func(d time.Duration) {
		for range d / testTick {
			s.run(testTick)
			s.noteGivenUp(givenUp)
		}
	}
	s.submitUnderFaults(watch)
	s.noFaults = true
	watch(60 * time.Second)
	return givenUp
}

// noteGivenUp updates the jobs that are given up. A later owner may know a job as
// unfinished again; one that it has forgotten stays as it was.
func (s *faultSim) noteGivenUp(givenUp map[string]string) {
	for _, j := range s.jobs {
		state, ok := s.state.JobState(j.ID)
		if !ok {
			continue
		}
		delete(givenUp, j.ID)
		if reason := s.state.FailureReason(j.ID); state == workload.Failed && strings.Contains(reason, "crashed under task") {
			givenUp[j.ID] = reason
		}
	}
}
