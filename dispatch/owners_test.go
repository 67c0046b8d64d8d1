package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// ownerSeeds is the number of simulated seeds.
const ownerSeeds = 30

// failedOwnerSeeds are further seeds, of three lines. They fail if the answer of one
// earlier owner's host ends the wait for all, if an owner takes a lease as over that its
// successor may renew, and if a worker off the membership list counts as terminated.
var failedOwnerSeeds = []uint64{
	48, 80, 93, 116,
	35, 37, 72, 87, 132, 145, 198, 271,
	74, 79, 120, 193,
}

// repeatedSeed is the seed simulated by TestOwnerSimulationRepeats.
const repeatedSeed = 1

const (
	ownerHosts = 5
	// ownerJobs is the number of jobs of a seed.
	ownerJobs = 50
	// settleTime bounds the time in which all jobs end once all faults have.
	settleTime = restartBound + 30*time.Second
)

// TestTaskRunsOnceAcrossOwners simulates hosts that replace each other as the owner
// while earlier owners go on: frozen, killed and cut off ones, lost and late orders and
// workers off the list. A task must run in one place and never start again after its
// end; once the faults have ended, all jobs must end.
func TestTaskRunsOnceAcrossOwners(t *testing.T) {
	seeds := slices.Clone(failedOwnerSeeds)
	for seed := range uint64(ownerSeeds) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newOwnerSim(t, seed, ownerHosts, faultWorkers)
			s.noFaults = false
			for i := range ownerJobs {
				s.submitRandom(fmt.Sprint("job", i))
				s.run(s.between(testTick, 20*testTick))
			}
			s.endFaults()
			s.run(settleTime)
			s.cancelAll()
			s.run(settleTime)
			s.wantAllEnded()
		})
	}
}

// TestOwnerSimulationRepeats guards against a course of events that a seed doesn't
// determine.
func TestOwnerSimulationRepeats(t *testing.T) {
	trace := func() []traceLine {
		s := newOwnerSim(t, repeatedSeed, ownerHosts, faultWorkers)
		s.noFaults = false
		for i := range ownerJobs {
			s.submitRandom(fmt.Sprint("job", i))
			s.run(10 * testTick)
		}
		return s.trace
	}
	if first, second := trace(), trace(); !slices.Equal(first, second) {
		t.Errorf("two simulations of one seed differ")
	}
}

// cancelAll cancels the jobs with long-running tasks, whichever owner follows.
func (s *ownerSim) cancelAll() {
	for _, j := range s.jobs {
		if j.Steps[0].LongRunning {
			s.cancelled = append(s.cancelled, j.ID)
		}
	}
}
