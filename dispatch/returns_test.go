package dispatch_test

import (
	"flag"
	"fmt"
	"slices"
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

// failedReturnSeeds and failedReturnOwnerSeeds are further seeds, of three lines each. They fail if
// an unresponsive worker gets acknowledgments, and if a run counts to a life that has only answered
// its start; the third line with one owner if no next life's lease is waited for after a change of
// owner, that with chains of owners if a worker is listed again under the token that it had.
var (
	failedReturnSeeds = []uint64{
		229, 360, 510, 675, 723,
		924,
		769,
	}
	failedReturnOwnerSeeds = []uint64{
		89, 454,
		321, 430,
		3631,
	}
)

// TestReturningWorkers is TestFaultsLeaveNothingStuck with workers that crash and start again
// under their IDs, at once or later, while orders for an earlier life are still under way,
// answers are lost and overtake each other, and the membership list lags behind. It guards
// against jobs that stand still, tasks that run in two places or again after their end, and
// ends that a worker forgets before they are durable.
func TestReturningWorkers(t *testing.T) {
	eachReturnSeed(t, failedReturnSeeds, func(t *testing.T, seed uint64) *workerReturns {
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
	eachReturnSeed(t, failedReturnOwnerSeeds, func(t *testing.T, seed uint64) *workerReturns {
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

// eachReturnSeed runs a test for each seed, also for the given ones, and checks that enough
// workers have returned, and enough starts were carried out by a later life, to show anything.
func eachReturnSeed(t *testing.T, seeds []uint64, run func(*testing.T, uint64) *workerReturns) {
	t.Helper()
	seeds = slices.Clone(seeds)
	for i := range *returnSeeds {
		seeds = append(seeds, *returnFirstSeed+uint64(i))
	}
	var begun, acrossLives, outlived atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for _, seed := range seeds {
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
	if begun.Load() < int64(len(seeds)) || acrossLives.Load() < int64(len(seeds))/10 {
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
