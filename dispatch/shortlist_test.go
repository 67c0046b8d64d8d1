package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// TestShortlistMatchesFullSearch checks that each task gets the same worker
// from the shortlist, which the tasks of a step share, as from a search of its
// own.
func TestShortlistMatchesFullSearch(t *testing.T) {
	for seed := range uint64(20) {
		r := newRig(t, 10)
		random := rand.New(rand.NewPCG(seed, 1))
		started, shortOfCapacity := 0, map[bool]int{}
		for i := range 30 {
			n, cores := 1+random.IntN(12), int64(1+random.IntN(6))
			image := fmt.Sprint("image", random.IntN(4))
			switch i % 3 {
			case 0:
				r.submit(queueShort, fmt.Sprint("service", i), step(n, cores, longRunning, func(s *workload.Step) {
					s.Image, s.TailTarget, s.MaxPerWorker = image, 50*time.Millisecond, random.IntN(3)
				}))
			case 1:
				r.submit(queueLong, fmt.Sprint("batch", i), step(n, cores, func(s *workload.Step) { s.BestEffort, s.Image = true, image }))
			default:
				r.submit(queueShort, fmt.Sprint("short", i), step(n, cores))
			}
			r.advance(testTick)
			starts, differences := r.state.PlanCompared(r.now)
			for _, d := range differences {
				t.Errorf("seed %d: %s", seed, d)
			}
			for _, o := range starts {
				r.state.HandleStartAnswer(r.now, o, runner.Answer{Status: runner.Done, ClockMS: r.clock()})
			}
			started += len(starts)
			shortOfCapacity[len(starts) < n]++
			r.endSome(random, starts)
		}
		if started == 0 || shortOfCapacity[true] == 0 || shortOfCapacity[false] == 0 {
			t.Fatalf("seed %d: %d starts, short of capacity %v: the load must both fit and not fit", seed, started, shortOfCapacity)
		}
	}
}

// endSome ends some of the runs that were just started.
func (r *rig) endSome(random *rand.Rand, starts []dispatch.StartOrder) {
	r.t.Helper()
	for _, o := range starts {
		if random.IntN(3) == 0 {
			r.ends++
			r.report(o.Worker.ID, nil, []runner.RunEnd{end(r.ends, o, runner.EndDone)})
		}
	}
}
