package dispatch_test

import (
	"flag"
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

// returnSeeds is the number of seeds of the tests of workers that start again under their IDs,
// returnFirstSeed the first.
var (
	returnSeeds     = flag.Int("dispatch.return-seeds", 30, "seeds of TestReturningWorkers and TestReturningWorkersAcrossOwners")
	returnFirstSeed = flag.Uint64("dispatch.return-first-seed", 0, "first seed of these tests")
)

// TestReturningWorkers is TestFaultsLeaveNothingStuck with workers that crash and start again
// under their IDs, at once or later, while orders for an earlier life are still under way,
// answers are lost and overtake each other, and the membership list lags behind. It guards
// against jobs that stand still, tasks that run in two places or again after their end, and
// ends that a worker forgets before they are durable.
func TestReturningWorkers(t *testing.T) {
	eachReturnSeed(t, func(t *testing.T, seed uint64) *workerReturns {
		s := newFaultSim(t, seed)
		s.maxLease, s.queueStarts = returnLease, seed%3 == 0
		s.startOwner(1)
		s.returnWorkers()
		s.submitUnderFaults(s.run)
		s.endReturns()
		s.run(60 * time.Second)
		for _, waits := range s.waitingDespiteCapacity() {
			t.Error("waits despite free capacity:", waits)
		}
		s.cancelLongRunning()
		s.run(40 * time.Second)
		s.wantAllEnded()
		return s.returns
	})
}

// TestReturningWorkersAcrossOwners is TestTaskRunsOnceAcrossOwners with such workers.
func TestReturningWorkersAcrossOwners(t *testing.T) {
	eachReturnSeed(t, func(t *testing.T, seed uint64) *workerReturns {
		s := newReturnOwnerSim(t, seed)
		s.noFaults = false
		for i := range ownerJobs {
			s.submitRandom(fmt.Sprint("job", i))
			s.run(s.between(testTick, 20*testTick))
		}
		s.endFaults()
		s.endReturns()
		s.run(settleTime)
		s.cancelAll()
		s.run(settleTime)
		s.wantAllEnded()
		return s.returns
	})
}

// eachReturnSeed runs a test for each seed, and checks that enough workers have returned and
// enough starts were carried out by a later life to show anything.
func eachReturnSeed(t *testing.T, run func(*testing.T, uint64) *workerReturns) {
	t.Helper()
	var begun, acrossLives, outlived atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for i := range *returnSeeds {
			seed := *returnFirstSeed + uint64(i)
			t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
				t.Parallel()
				r := run(t, seed)
				begun.Add(int64(r.begun))
				acrossLives.Add(int64(r.acrossLives))
				outlived.Add(int64(r.outlived))
			})
		}
	})
	t.Logf("%d lives began, %d starts were carried out by a later life, %d more were given up before", begun.Load(), acrossLives.Load(), outlived.Load())
	if begun.Load() < int64(*returnSeeds) || acrossLives.Load() < int64(*returnSeeds)/10 {
		t.Error("too few lives or starts by a later life to show anything")
	}
}

// endReturns ends the faults of workers; those that are away return.
func (s *faultSim) endReturns() {
	s.noFaults = true
	for _, w := range s.workers {
		w.returning.mutedUntil = s.now
	}
}
