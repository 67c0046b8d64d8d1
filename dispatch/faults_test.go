package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// faultSeeds is the number of simulated seeds, queuedSeeds that with queued starts;
// regressionSeeds are further ones that used to fail.
const (
	faultSeeds  = 60
	queuedSeeds = 20
)

var regressionSeeds = []uint64{86, 551, 609, 1746, 1971, 3789}

// TestFaultsLeaveNothingStuck simulates random jobs and faults: refused, lost
// and late orders, unreachable, crashed, draining, unlisted and restarted
// workers, a store that is down, and takeovers. Afterwards every job must end,
// no long-running task may wait next to free capacity, and no capacity may stay
// reserved without a run.
func TestFaultsLeaveNothingStuck(t *testing.T) {
	seeds := slices.Clone(regressionSeeds)
	for seed := range uint64(faultSeeds) {
		seeds = append(seeds, seed)
	}
	checkFaults(t, false, seeds...)
}

// TestFaultsWithQueuedStarts is TestFaultsLeaveNothingStuck with starts that wait at
// their sender, where the State may withdraw them.
func TestFaultsWithQueuedStarts(t *testing.T) {
	var seeds []uint64
	for seed := range uint64(queuedSeeds) {
		seeds = append(seeds, seed)
	}
	checkFaults(t, true, seeds...)
}

// checkFaults simulates the seeds and checks that nothing is stuck.
func checkFaults(t *testing.T, queueStarts bool, seeds ...uint64) {
	t.Helper()
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newFaultSim(t, seed)
			s.queueStarts = queueStarts
			s.submitUnderFaults(s.run)
			s.noFaults = true
			s.run(60 * time.Second)
			for _, waits := range s.waitingDespiteCapacity() {
				t.Error("waits despite free capacity:", waits)
			}
			s.cancelLongRunning()
			s.run(40 * time.Second)
			s.wantAllEnded()
			workers := len(s.alive())
			s.accept(queueShort, "whole", step(workers, 16, func(st *workload.Step) { st.Estimate = time.Minute }))
			s.run(5 * time.Second)
			if n := s.running("whole"); n != workers {
				t.Errorf("%d tasks that need a whole worker run, want %d: capacity is reserved without a run", n, workers)
			}
		})
	}
}

// submitUnderFaults submits random jobs and advances the simulation with run; some jobs
// are canceled.
func (s *faultSim) submitUnderFaults(run func(time.Duration)) {
	run(time.Second)
	for i := range 80 {
		s.submitRandom(fmt.Sprint("job", i))
		run(s.between(testTick, 10*testTick))
		if s.chance(0.05) {
			s.state.Cancel(s.now, fmt.Sprint("job", s.random.IntN(i+1)))
		}
	}
}

// cancelLongRunning cancels the jobs with long-running tasks.
func (s *faultSim) cancelLongRunning() {
	for _, j := range s.jobs {
		if j.Steps[0].LongRunning {
			s.state.Cancel(s.now, j.ID)
		}
	}
}

// wantAllEnded checks that every job has ended and nothing runs.
func (s *faultSim) wantAllEnded() {
	for _, j := range s.jobs {
		if state, ok := s.state.JobState(j.ID); ok && !state.Final() {
			s.t.Errorf("job %s (%s) is %v%s", j.ID, describe(j), state, s.traceOfJob(j.ID))
		}
	}
	for _, w := range s.alive() {
		for id, r := range w.runs {
			s.t.Errorf("run %d of %v is still on %s", r.number, id, w.info.ID)
		}
	}
}

// describe returns the kind of a job.
func describe(j *workload.Job) string {
	st := &j.Steps[0]
	return fmt.Sprintf("%d tasks, best-effort %v, gang %v, long-running %v, speculative %v", st.Tasks, st.BestEffort, st.Gang, st.LongRunning, st.Speculative)
}
