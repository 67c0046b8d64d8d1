package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// setCapacity lists the only worker with the given processors.
func (r *rig) setCapacity(milliCPU int64) {
	w := workerInfo(worker(0))
	w.Capacity.MilliCPU = milliCPU
	r.state.SetMembers(r.now, []runner.Worker{w})
	r.flush()
}

// TestShrunkWorkerGetsNoStarts checks that what runs, also what is being stopped,
// counts against the capacity that a worker has now.
func TestShrunkWorkerGetsNoStarts(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "first", step(2, 4))
	first := r.plan()
	r.setCapacity(10_000)
	r.submit(queueShort, "second", step(1, 4))
	if got := r.plan(); len(got) != 0 {
		t.Errorf("started %v on a worker of 10 cores that runs 8", got)
	}
	r.state.Cancel(r.now, "first")
	if got := r.plan(); len(got) != 0 {
		t.Errorf("started %v before the stopped runs had ended", got)
	}
	r.report(worker(0), nil, []runner.RunEnd{end(1, first[0], runner.EndStopped)})
	if got := r.plan(); len(got) != 1 {
		t.Errorf("%d starts on a worker of 10 cores that runs 4, want one", len(got))
	}
	r.submit(queueShort, "third", step(1, 4))
	if got := r.plan(); len(got) != 0 {
		t.Errorf("started %v on a worker of 10 cores that runs 8", got)
	}
	r.setCapacity(16_000)
	if got := r.plan(); len(got) != 1 {
		t.Errorf("%d starts on a worker that has 16 cores again and runs 8, want one", len(got))
	}
}

// TestUnknownRunKeepsStartsAway checks that a worker gets no starts while it runs
// something of unknown size, as a job whose row can't be read.
func TestUnknownRunKeepsStartsAway(t *testing.T) {
	r := newRig(t, 1)
	unknown := runner.ActiveRun{Task: workload.TaskID{Job: "unknown"}, Run: 1}
	r.report(worker(0), []runner.ActiveRun{unknown}, nil)
	r.submit(queueShort, "job", step(1, 4))
	if got := r.plan(); len(got) != 0 {
		t.Errorf("started %v beside a run of unknown size", got)
	}
	r.report(worker(0), nil, []runner.RunEnd{{Number: 1, Task: unknown.Task, Run: 1, Kind: runner.EndStopped}})
	r.advance(testTick)
	if got := r.plan(); len(got) != 1 {
		t.Errorf("%d starts after that run has ended, want one", len(got))
	}
}

// TestStartsKeepToChangingCapacity checks that no start exceeds the capacity of a
// worker that doesn't refuse it, while capacities change at random.
func TestStartsKeepToChangingCapacity(t *testing.T) {
	// grace is how long a start that was ordered before a worker shrank may take.
	const grace = time.Second
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newFaultSim(t, seed)
			s.noFaults, s.unguarded = true, true
			changedAt := map[string]time.Time{}
			starts := 0
			s.started = func(w *faultWorker, id workload.TaskID) {
				starts++
				if free := w.free(); (free.MilliCPU < 0 || free.MemoryMB < 0) && s.now.Sub(changedAt[w.info.ID]) > grace {
					t.Errorf("the start of %v leaves %+v free on %s", id, free, w.info.ID)
				}
			}
			s.run(time.Second)
			for i := range 60 {
				s.submitRandom(fmt.Sprint("job", i))
				w := s.workers[s.random.IntN(len(s.workers))]
				w.info.Capacity = infra.Resources{MilliCPU: 4000 * int64(1+s.random.IntN(4)), MemoryMB: 16_000 * int64(1+s.random.IntN(4))}
				changedAt[w.info.ID] = s.now
				s.run(s.between(testTick, 2*time.Second))
				if s.random.IntN(4) == 0 {
					s.state.Cancel(s.now, fmt.Sprint("job", s.random.IntN(i+1)))
				}
				if s.random.IntN(8) == 0 {
					s.replaceOwner()
				}
			}
			if starts < 60 {
				t.Errorf("%d starts, want 60 or more", starts)
			}
		})
	}
}
