package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// faultSeeds is how many courses of faults are played; foundSeeds are others
// that once left something stuck or ran a task twice.
const faultSeeds = 60

var foundSeeds = []uint64{86, 551, 609, 1746, 1971, 3789}

// TestNothingIsLeftStuck plays random courses of starts, stops, answers,
// refusals, orders without an answer, orders carried out late, workers that go
// dark, crash, drain, vanish from the list or come back as another life, a store
// that is away, and owners that are replaced. Once all that is over, nothing may
// be left in a state that only a lost event would end: every job ends, no
// lasting task waits beside a worker that has room and may take it, and no room
// is held by what isn't there.
func TestNothingIsLeftStuck(t *testing.T) {
	seeds := slices.Clone(foundSeeds)
	for seed := range uint64(faultSeeds) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newFaultSite(t, seed)
			s.run(time.Second)
			for i := range 80 {
				s.draw(fmt.Sprint("job", i))
				s.run(s.between(testTick, 10*testTick))
				if s.chance(0.05) {
					s.state.Cancel(s.now, fmt.Sprint("job", s.random.IntN(i+1)))
				}
			}
			s.calm = true
			s.run(60 * time.Second)
			for _, waits := range s.waitsBesideRoom() {
				t.Error("waits beside room:", waits)
			}
			s.cancelLasting()
			s.run(40 * time.Second)
			s.wantAllOver()
			workers := len(s.living())
			s.accept(queueShort, "whole", step(workers, 16, func(st *workload.Step) { st.Estimate = time.Minute }))
			s.run(5 * time.Second)
			if n := s.running("whole"); n != workers {
				t.Errorf("%d tasks that need a whole worker run, want %d: the rest is held by what isn't there", n, workers)
			}
		})
	}
}

// cancelLasting cancels the jobs with long-running tasks.
func (s *faultSite) cancelLasting() {
	for _, j := range s.jobs {
		if j.Steps[0].LongRunning {
			s.state.Cancel(s.now, j.ID)
		}
	}
}

// wantAllOver checks that every job is over and nothing runs.
func (s *faultSite) wantAllOver() {
	for _, j := range s.jobs {
		if state, ok := s.state.JobState(j.ID); ok && !state.Final() {
			s.t.Errorf("job %s (%s) is %v", j.ID, describe(j), state)
		}
	}
	for _, w := range s.living() {
		for id, r := range w.runs {
			s.t.Errorf("run %d of %v is still on %s", r.number, id, w.info.ID)
		}
	}
}

// describe tells what kind of job it is.
func describe(j *workload.Job) string {
	st := &j.Steps[0]
	return fmt.Sprintf("%d tasks, filler %v, gang %v, lasting %v, speculative %v", st.Tasks, st.BestEffort, st.Gang, st.LongRunning, st.Speculative)
}
