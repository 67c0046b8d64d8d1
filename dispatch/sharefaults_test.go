package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	// shareSeeds is the number of simulated seeds of the checks under faults.
	shareSeeds = 16
	// shareRounds is the number of periods with faults, of shareFaults each.
	shareRounds = 3
	shareFaults = 8 * time.Second
	// shareSettle bounds the time from the last fault until the share is held: the longest
	// cut, a lease and a takeover, and the reclaim of the whole share at a tenth of the
	// pool per second.
	shareSettle = 26 * time.Second
	// shareCheck is how long the share must then be held.
	shareCheck = 8 * time.Second
	// maxShareTask is the size of the largest task of the queue with the share, in
	// thousandths of a core.
	maxShareTask = 6000
	// pendingJobs is the number of jobs of each queue that always wait.
	pendingJobs = 8
)

// shareSim is a faultSim in which two queues always have waiting jobs: one of higher
// priority, and one with a guaranteed share.
type shareSim struct {
	*faultSim
	queues [2]workload.Queue
	n      int
	// byJob holds the index of each job's queue.
	byJob map[string]int
	// reclaimed is what was reclaimed in each of the last ticks, the newest last.
	reclaimed []int64
	// reclaimedRuns counts all runs that were reclaimed.
	reclaimedRuns int
}

// newShareSim returns a simulation without faults so far.
func newShareSim(t *testing.T, seed uint64, disabled mechanism.Set) *shareSim {
	s := &shareSim{faultSim: newFaultSim(t, seed), queues: [2]workload.Queue{queueShort, queueSteady}, byJob: map[string]int{}}
	s.rig.queues = s.queues[:]
	s.disabled, s.planned, s.noFaults = disabled, s.checkReclaims, true
	s.startOwner(1)
	return s
}

// submitWaiting submits jobs of both queues until enough wait.
func (s *shareSim) submitWaiting() {
	for i, q := range s.queues {
		for s.state.PendingJobs(q.Name) < pendingJobs {
			id := fmt.Sprint("job", s.n)
			s.n++
			s.byJob[id] = i
			cores := int64(1+s.random.IntN(maxShareTask/1000)) * 1000
			s.accept(q, id, step(1+s.random.IntN(4), 0, func(st *workload.Step) {
				st.Needs = infra.Resources{MilliCPU: cores, MemoryMB: 500}
				st.Estimate, st.Checkpointing = s.between(300*time.Millisecond, 4*time.Second), s.random.IntN(2) == 0
				switch kind := s.random.IntN(20); {
				case kind == 0 && i == 0 && s.longRunningMilliCPU() < 20_000:
					st.LongRunning, st.Checkpointing = true, false
				case kind == 1 && i == 0:
					st.Gang, st.Checkpointing = true, false
				}
			}))
		}
	}
}

// checkReclaims fails the test if a plan reclaims more than a tenth of the workers' cores
// within a second, runs that may not be stopped, or runs of the queue with the share.
func (s *shareSim) checkReclaims(p dispatch.Plan) {
	sum := int64(0)
	for _, o := range p.Stops {
		if o.Cause != dispatch.Reclaimed {
			continue
		}
		st := &s.job(o.Stop.Task.Job).Steps[0]
		if st.LongRunning || st.Gang || s.byJob[o.Stop.Task.Job] == 1 {
			s.t.Errorf("%v was reclaimed: long-running %v, gang %v, queue %s", o.Stop.Task, st.LongRunning, st.Gang, s.job(o.Stop.Task.Job).Queue)
		}
		if run := s.worker(o.Worker.ID).runs[o.Stop.Task]; run == nil || run.stopped {
			continue // ended meanwhile, or ordered again
		}
		s.worker(o.Worker.ID).runs[o.Stop.Task].stopped = true
		sum += st.Needs.MilliCPU
		s.reclaimedRuns++
	}
	s.reclaimed = append(s.reclaimed, sum)
	lastSecond, capacity := int64(0), int64(0)
	for _, n := range s.reclaimed[max(0, len(s.reclaimed)-int(time.Second/testTick)):] {
		lastSecond += n
	}
	for _, w := range s.alive() {
		capacity += w.info.Capacity.MilliCPU
	}
	if lastSecond > (capacity+2*workerInfo("").Capacity.MilliCPU)/10 { // workers that terminated lately count at the owner
		s.t.Errorf("%d of %d reclaimed within a second", lastSecond, capacity)
	}
}

// job returns a job by its ID.
func (s *shareSim) job(id string) *workload.Job {
	for _, j := range s.jobs {
		if j.ID == id {
			return j
		}
	}
	s.t.Fatalf("job %s wasn't submitted", id)
	return nil
}

// running returns the requests of the running tasks of the queue with the share, in
// thousandths of a core.
func (s *shareSim) running() int64 {
	var sum int64
	for _, w := range s.alive() {
		for id, r := range w.runs {
			if s.byJob[id.Job] == 1 {
				sum += r.step.Needs.MilliCPU
			}
		}
	}
	return sum
}

// missing is the part of the guaranteed share that a queue lacks by more than one of its
// largest tasks, on average.
type missing struct {
	// known is that of the runs that the owner knows, running that of the running tasks,
	// without those that wait at a sender or whose end isn't reported yet.
	known, running float64
}

// runFor advances the simulation while both queues have waiting jobs, and returns what
// the queue with the share lacks.
func (s *shareSim) runFor(d time.Duration) missing {
	var m missing
	ticks := float64(d / testTick)
	entitled := int64(queueSteady.GuaranteedShare * faultWorkers * float64(workerInfo("").Capacity.MilliCPU))
	part := func(used int64) float64 {
		return float64(max(entitled-maxShareTask-used, 0)) / float64(entitled) / ticks
	}
	for range d / testTick {
		s.submitWaiting()
		s.run(testTick)
		m.running += part(s.running())
		known := s.running() // without shares the owner doesn't tell
		for _, q := range s.state.AttributeTime(s.now).Shares {
			if q.Queue == queueSteady.Name {
				known = q.Used
			}
		}
		m.known += part(known)
	}
	return m
}

// TestShareHeldAfterFaults simulates random faults and overload: after each period of
// faults the queue with a guaranteed share must get it, though the other has precedence,
// and at no time may a task run on two workers. Without shares it gets far less.
func TestShareHeldAfterFaults(t *testing.T) {
	for seed := range uint64(shareSeeds) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newShareSim(t, seed, 0)
			s.queueStarts = seed%2 == 1
			for round := range shareRounds {
				s.noFaults = false
				s.runFor(shareFaults)
				s.noFaults = true
				s.runFor(shareSettle)
				m := s.runFor(shareCheck)
				t.Logf("round %d: missing %.3f, of the running tasks %.3f", round, m.known, m.running)
				if m.known > 0.02 || (!s.queueStarts && m.running > 0.2) {
					t.Errorf("round %d: part %.3f of the share is missing, of the running tasks %.3f", round, m.known, m.running)
				}
			}
			if s.reclaimedRuns == 0 {
				t.Error("nothing was reclaimed")
			}
			s.wantAllResumed()
		})
	}
	without := newShareSim(t, 0, mechanism.Of(mechanism.Shares))
	without.runFor(shareSettle)
	if m := without.runFor(shareCheck); m.running < 0.5 {
		t.Errorf("without shares part %.3f of the share is missing, want at least half, else the load shows nothing", m.running)
	}
}

// wantAllResumed checks that all jobs end once no more are submitted, so that each
// evicted task was resumed.
func (s *shareSim) wantAllResumed() {
	s.cancelLongRunning()
	s.run(2 * time.Minute)
	s.wantAllEnded()
}

// TestTaskRunsOnceWithReclaims is TestTaskRunsOnceAcrossOwners with guaranteed shares and
// more load, so that capacity is reclaimed.
func TestTaskRunsOnceWithReclaims(t *testing.T) {
	short, long := queueShort, queueLong
	short.GuaranteedShare, long.GuaranteedShare = 0.3, 0.6
	reclaimed := make([]int, shareSeeds)
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(shareSeeds) {
			t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
				t.Parallel()
				s := newOwnerSim(t, seed, ownerHosts, faultWorkers)
				s.queues = []workload.Queue{short, long}
				s.state.SetQueues(s.queues)
				s.planned = func(p dispatch.Plan) {
					for _, o := range p.Stops {
						if o.Cause == dispatch.Reclaimed {
							reclaimed[seed]++
						}
					}
				}
				s.noFaults = false
				for i := range 6 * ownerJobs {
					s.submitRandom(fmt.Sprint("job", i))
					s.run(s.between(testTick, 3*testTick))
				}
				s.endFaults()
				s.run(settleTime)
				s.cancelAll()
				s.run(settleTime)
				s.wantAllEnded()
			})
		}
	})
	sum := 0
	for _, n := range reclaimed {
		sum += n
	}
	t.Logf("%d runs reclaimed", sum)
	if sum < shareSeeds {
		t.Errorf("%d runs reclaimed in %d seeds, too few to show anything", sum, shareSeeds)
	}
}
