package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// BenchmarkPlanBacklog plans on 60 full workers with 300 steps waiting, half of
// them short and half best-effort.
func BenchmarkPlanBacklog(b *testing.B) {
	t := &testing.T{}
	r := newRig(t, 60)
	for i := range 40 {
		r.submit(queueShort, fmt.Sprintf("service%d", i), step(6, 3, longRunning, func(s *workload.Step) {
			s.Image, s.TailTarget = fmt.Sprintf("serve%d", i%5), 50*time.Millisecond
		}))
	}
	for i := range 150 {
		r.submit(queueShort, fmt.Sprintf("short%d", i), step(6, 6))
		r.submit(queueLong, fmt.Sprintf("batch%d", i), step(8, 7, func(s *workload.Step) {
			s.BestEffort, s.Image, s.Checkpointing = true, fmt.Sprintf("batch%d", i%9), true
		}))
	}
	benchPlan(b, r)
}

// benchPlan starts what fits and then measures planning cycles.
func benchPlan(b *testing.B, r *rig) {
	b.Helper()
	for range 5 {
		r.plan()
		r.flush()
	}
	b.ReportAllocs()
	b.ResetTimer()
	var p dispatch.Plan
	for b.Loop() {
		r.advance(time.Millisecond)
		p = r.state.Plan(r.now)
	}
	b.ReportMetric(float64(len(p.Starts)), "starts/op")
}

// BenchmarkPlanBestEffort plans on 490 workers with serving tasks that report
// tails, with best-effort steps of 18 images waiting.
func BenchmarkPlanBestEffort(b *testing.B) {
	t := &testing.T{}
	r := newRig(t, 490)
	for i := range 245 {
		r.submit(queueShort, fmt.Sprintf("service%d", i), step(6, 5, longRunning, func(s *workload.Step) {
			s.Image, s.TailTarget = fmt.Sprintf("serve%d", i%10), 50*time.Millisecond
		}))
	}
	serving := map[string][]runner.ActiveRun{}
	for _, o := range r.plan() {
		serving[o.Worker.ID] = append(serving[o.Worker.ID], withTail(o, 14))
	}
	for range 6 {
		r.advance(500 * time.Millisecond)
		for id, active := range serving {
			r.report(id, active, nil)
		}
	}
	for i := range 150 {
		r.submit(queueLong, fmt.Sprintf("batch%d", i), step(20, int64(4+i%8), func(s *workload.Step) {
			s.BestEffort, s.Image, s.Checkpointing = true, fmt.Sprintf("batch%d", i%18), true
		}))
	}
	benchPlan(b, r)
}
