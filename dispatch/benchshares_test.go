package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// sharedBacklog is the number of jobs of the burst that wait in a shared pool.
const sharedBacklog = 4

// sharedRunCycles is the least number of cycles that a run takes there, half the most.
const sharedRunCycles = 3 * largeRunCycles

// benchPlanShared measures planning cycles on 890 full workers. Long-running tasks serve
// there; what they leave is used by a queue of high priority and one with the given
// guaranteed share, of both of which more waits.
func benchPlanShared(b *testing.B, share float64) {
	r := newLargeRig()
	steady, burst := queueSteady, queueShort
	steady.GuaranteedShare, burst.Name = share, "burst"
	r.state.SetQueues([]workload.Queue{queueShort, burst, steady})
	numbers := map[string]uint64{}
	due := map[int][]dispatch.StartOrder{}
	stopped := map[workload.TaskID]uint64{}
	jobs, stops, starts := 0, 0, 0
	ended := func(o dispatch.StartOrder, kind runner.EndKind) {
		numbers[o.Worker.ID]++
		r.report(o.Worker.ID, nil, []runner.RunEnd{end(numbers[o.Worker.ID], o, kind)})
	}
	cycle := func(i int) {
		for range 12 {
			if i%(2*sharedRunCycles) == 0 {
				r.submit(steady, fmt.Sprint("steady", jobs), step(100, 3, func(s *workload.Step) { s.Checkpointing = true }))
				jobs++
			}
		}
		for r.state.PendingJobs(burst.Name) < sharedBacklog {
			r.submit(burst, fmt.Sprint("burst", jobs), step(20, 2))
			jobs++
		}
		r.advance(largeCycle)
		b.StartTimer()
		p := r.state.Plan(r.now)
		b.StopTimer()
		for _, o := range p.Stops {
			stopped[o.Stop.Task] = o.Stop.Run
			stops++
		}
		for k, o := range p.Starts {
			r.state.HandleStartAnswer(r.now, o, runner.Answer{Status: runner.Done, ClockMS: r.clock()})
			until := i + sharedRunCycles + k%sharedRunCycles
			due[until] = append(due[until], o)
			starts++
		}
		for _, o := range due[i] {
			if stopped[o.Start.Task] == o.Start.Run {
				ended(o, runner.EndStopped)
			} else {
				ended(o, runner.EndDone)
			}
		}
		delete(due, i)
		r.flush()
	}
	for i := range 4 * sharedRunCycles {
		cycle(i)
	}
	stops, starts = 0, 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		cycle(4*sharedRunCycles + i)
	}
	b.ReportMetric(float64(stops)/float64(b.N), "stops/op")
	b.ReportMetric(float64(starts)/float64(b.N), "starts/op")
}

// BenchmarkPlanShares plans with a queue whose guaranteed share is reclaimed.
func BenchmarkPlanShares(b *testing.B) { benchPlanShared(b, 0.3) }

// BenchmarkPlanNoShares plans on the same workers and tasks without the share.
func BenchmarkPlanNoShares(b *testing.B) { benchPlanShared(b, 0) }
