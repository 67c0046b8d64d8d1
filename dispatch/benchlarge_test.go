package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// The load of a large pool in its steady state: some 1,500 starts a second in
// cycles 30 ms apart.
const (
	largeWorkers = 890
	largeLasting = 240 // jobs of four long-running tasks
	largeCycle   = 30 * time.Millisecond
	// largeRuns is how many cycles a run takes.
	largeRuns = 30
)

// newLargeRig returns 890 workers on which long-running tasks serve.
func newLargeRig() *rig {
	r := newRig(&testing.T{}, largeWorkers)
	for i := range largeLasting {
		r.submit(queueShort, fmt.Sprintf("lasting%d", i), step(4, 3, longRunning, func(s *workload.Step) {
			s.Image, s.TailTarget = fmt.Sprintf("serve%d", i%16), 50*time.Millisecond
		}))
	}
	r.plan()
	return r
}

// BenchmarkPlanLarge plans on 890 workers that serve. In each cycle a job of 39
// fillers and one of 10 short tasks come, and those of an earlier cycle end.
func BenchmarkPlanLarge(b *testing.B) {
	r := newLargeRig()
	numbers := map[string]uint64{}
	var running [][]dispatch.StartOrder
	cycle := func(i int) {
		r.submit(queueLong, fmt.Sprintf("fill%d", i), step(39, 3, func(s *workload.Step) {
			s.BestEffort, s.Image, s.Checkpointing = true, fmt.Sprintf("fill%d", i%30), true
		}))
		r.submit(queueShort, fmt.Sprintf("short%d", i), step(10, 4))
		r.pass(largeCycle)
		b.StartTimer()
		starts := r.plan()
		b.StopTimer()
		running = append(running, starts)
		if len(running) <= largeRuns {
			return
		}
		for _, o := range running[0] {
			numbers[o.Worker.ID]++
			r.report(o.Worker.ID, nil, []runner.RunEnd{end(numbers[o.Worker.ID], o, runner.EndDone)})
		}
		running = running[1:]
		r.flush()
	}
	for i := range 2 * largeRuns {
		cycle(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	starts := 0
	for i := range b.N {
		cycle(2*largeRuns + i)
		starts += len(running[len(running)-1])
	}
	b.ReportMetric(float64(starts)/float64(b.N), "starts/op")
}

// BenchmarkPlanHeldBack plans eight starts at a time on 890 workers that serve
// and have room, with 100 steps of fillers waiting, as an owner does whose orders
// are slow.
func BenchmarkPlanHeldBack(b *testing.B) {
	r := newLargeRig()
	numbers := map[string]uint64{}
	for i := range 100 {
		r.submit(queueLong, fmt.Sprintf("fill%d", i), step(160, 3, func(s *workload.Step) {
			s.BestEffort, s.Image, s.Checkpointing = true, fmt.Sprintf("fill%d", i%30), true
		}))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		r.pass(largeCycle)
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
