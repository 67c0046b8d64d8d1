package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// The load of a large pool in its steady state.
const (
	largeWorkers         = 890
	largeLongRunningJobs = 240 // jobs of four tasks
	largeCycle           = 30 * time.Millisecond
	// largeRunCycles is how many cycles a run takes.
	largeRunCycles = 30
)

// newLargeRig returns a rig whose workers run long-running serving tasks.
func newLargeRig() *rig {
	r := newRig(&testing.T{}, largeWorkers)
	r.startServing(4)
	return r
}

// startServing starts the long-running serving tasks of the large pool.
func (r *rig) startServing(tasks int, change ...func(*workload.Step)) map[string][]dispatch.StartOrder {
	for i := range largeLongRunningJobs {
		r.submit(queueShort, fmt.Sprintf("service%d", i), step(tasks, 3, longRunning, func(s *workload.Step) {
			s.Image, s.TailTarget = fmt.Sprintf("serve%d", i%16), 50*time.Millisecond
			for _, f := range change {
				f(s)
			}
		}))
	}
	serving := map[string][]dispatch.StartOrder{}
	for _, o := range r.plan() {
		serving[o.Worker.ID] = append(serving[o.Worker.ID], o)
	}
	return serving
}

// BenchmarkPlanLarge plans on workers with serving tasks. In each cycle one
// best-effort and one short job arrive, and the runs of an earlier cycle end.
func BenchmarkPlanLarge(b *testing.B) { benchPlanLarge(b, newLargeRig()) }

// BenchmarkPlanLargeShares is BenchmarkPlanLarge with guaranteed shares.
func BenchmarkPlanLargeShares(b *testing.B) {
	short, long := queueShort, queueLong
	short.GuaranteedShare, long.GuaranteedShare = 0.5, 0.3
	r := newLargeRig()
	r.state.SetQueues([]workload.Queue{short, long})
	benchPlanLarge(b, r)
}

// benchPlanLarge is BenchmarkPlanLarge on a pool with serving tasks.
func benchPlanLarge(b *testing.B, r *rig) {
	b.Helper()
	numbers := map[string]uint64{}
	var running [][]dispatch.StartOrder
	cycle := func(i int) {
		r.submit(queueLong, fmt.Sprintf("batch%d", i), step(39, 3, func(s *workload.Step) {
			s.BestEffort, s.Image, s.Checkpointing = true, fmt.Sprintf("batch%d", i%30), true
		}))
		r.submit(queueShort, fmt.Sprintf("short%d", i), step(10, 4))
		r.advance(largeCycle)
		b.StartTimer()
		starts := r.plan()
		b.StopTimer()
		running = append(running, starts)
		if len(running) <= largeRunCycles {
			return
		}
		for _, o := range running[0] {
			numbers[o.Worker.ID]++
			r.report(o.Worker.ID, nil, []runner.RunEnd{end(numbers[o.Worker.ID], o, runner.EndDone)})
		}
		running = running[1:]
		r.flush()
	}
	for i := range 2 * largeRunCycles {
		cycle(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	starts := 0
	for i := range b.N {
		cycle(2*largeRunCycles + i)
		starts += len(running[len(running)-1])
	}
	b.ReportMetric(float64(starts)/float64(b.N), "starts/op")
}

// BenchmarkPlanLimitedStarts plans eight starts at a time on workers with free
// capacity while many best-effort steps wait.
func BenchmarkPlanLimitedStarts(b *testing.B) {
	r := newLargeRig()
	numbers := map[string]uint64{}
	for i := range 100 {
		r.submit(queueLong, fmt.Sprintf("batch%d", i), step(160, 3, func(s *workload.Step) {
			s.BestEffort, s.Image, s.Checkpointing = true, fmt.Sprintf("batch%d", i%30), true
		}))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		r.advance(largeCycle)
		b.StartTimer()
		starts := r.state.PlanAtMost(r.now, 8).Starts
		b.StopTimer()
		for _, o := range starts {
			r.state.HandleStartAnswer(r.now, o, runner.Answer{Status: runner.Done, ClockMS: r.clock()})
			numbers[o.Worker.ID]++
			r.report(o.Worker.ID, nil, []runner.RunEnd{end(numbers[o.Worker.ID], o, runner.EndFailed)})
		}
	}
}

// BenchmarkPlanAfterTakeover plans with tasks that an earlier owner has started, on
// workers none of which has reported yet.
func BenchmarkPlanAfterTakeover(b *testing.B) {
	const workers, jobs = 3000, 100
	r := newRig(&testing.T{}, workers)
	for i := range jobs {
		r.submit(queueShort, fmt.Sprintf("job%d", i), step(10, 4))
	}
	r.plan()
	r.flush()
	r.takeOver(r.roster()...)
	b.ReportAllocs()
	for b.Loop() {
		r.advance(largeCycle)
		r.state.PlanAtMost(r.now, 64)
	}
}

// newLargePaceRig is newLargeRig with the speed of workers learned.
func newLargePaceRig(tasks int, change ...func(*workload.Step)) (*rig, map[string][]dispatch.StartOrder) {
	r := paceRig(&testing.T{}, 0)
	r.startedAt = r.now
	r.startOwner(1)
	r.members(largeWorkers)
	for i := range largeWorkers {
		r.report(worker(i), nil, nil)
	}
	return r, r.startServing(tasks, change...)
}

// BenchmarkPlanLargePace is BenchmarkPlanLarge with the speed of workers learned and none
// of them slow.
func BenchmarkPlanLargePace(b *testing.B) {
	r, _ := newLargePaceRig(4)
	benchPlanLarge(b, r)
}

// BenchmarkPlanSlowWorkers plans on workers with serving tasks of which a quarter is slow.
// All report their tails every half second, in turn.
func BenchmarkPlanSlowWorkers(b *testing.B) {
	r, serving := newLargePaceRig(15, func(s *workload.Step) { s.MaxPerWorker = 1 })
	cycles := int(500 * time.Millisecond / largeCycle)
	n := 0
	cycle := func(slow bool) {
		n++
		r.advance(largeCycle)
		for i := range largeWorkers {
			if (i+n)%cycles != 0 {
				continue
			}
			var runs []runner.ActiveRun
			for _, o := range serving[worker(i)] {
				tail := int64(normalTailMS + n/cycles%2)
				if slow && i%4 == 0 {
					tail = slowTailMS + int64(n/cycles%2)
				}
				runs = append(runs, withTail(o, tail))
			}
			r.report(worker(i), runs, nil)
		}
		b.StartTimer()
		p := r.state.Plan(r.now)
		b.StopTimer()
		for _, o := range p.Stops { // moved elsewhere: taken as refused, so that the load stays
			r.state.HandleStopAnswer(r.now, o, runner.Answer{Status: runner.Unknown})
		}
		for _, o := range p.Starts {
			r.state.HandleStartAnswer(r.now, o, runner.Answer{Status: runner.Done, ClockMS: r.clock()})
		}
	}
	for range 10 * cycles {
		cycle(false)
	}
	for range 8 * cycles {
		cycle(true)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		cycle(true)
	}
	b.ReportMetric(float64(r.state.AttributeTime(r.now).SlowWorkers), "slow")
}
