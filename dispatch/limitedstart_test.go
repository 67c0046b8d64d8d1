package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// TestJobStartsLimitedBesideTightTasks guards against jobs that wait without bound beside idle
// processors, since each worker runs serving tasks that are close to their target. One task of each
// starts, at a low CPU limit, one after another on a worker; it doesn't disturb the serving task,
// and gets its processors once that has slack.
func TestJobStartsLimitedBesideTightTasks(t *testing.T) {
	const jobs, tight, relaxed = 2, 48, 5
	r := newRig(t, 1)
	r.submit(queueShort, "serving", step(1, 8, longRunning, func(s *workload.Step) {
		s.Image, s.TailTarget = "web", 50*time.Millisecond
	}))
	serving := r.plan()[0]
	var runs []dispatch.StartOrder
	limits := map[string]int{}
	cycles := func(n int, tail int64) {
		for range n {
			r.advance(testTick)
			p := r.state.Plan(r.now)
			for _, o := range p.CPULimits {
				limits[o.CPULimit.Task.Job] = o.CPULimit.Percent
				r.state.HandleCPULimitAnswer(o, runner.Answer{Status: runner.Done, ClockMS: r.clock()})
			}
			for _, o := range p.Starts {
				runs = append(runs, o)
				r.state.HandleStartAnswer(r.now, o, runner.Answer{Status: runner.Done, ClockMS: r.clock()})
			}
			report := []runner.ActiveRun{withTail(serving, tail)}
			for _, o := range runs {
				report = append(report, runner.ActiveRun{Task: o.Start.Task, Run: o.Start.Run, Usage: int64(10 * limits[o.Start.Task.Job])})
			}
			r.report(worker(0), report, nil)
			r.flush()
		}
	}
	cycles(50, tight)
	for i := range jobs {
		r.submit(queueLong, fmt.Sprint("job", i), step(3, 1, func(s *workload.Step) { s.BestEffort, s.Image = true, "plan" }))
	}
	cycles(15, tight)
	if len(runs) > 0 {
		t.Fatalf("%d starts within 1.5 s beside a task that is close to its target", len(runs))
	}
	cycles(35, tight)
	if len(runs) != jobs || runs[0].Start.Task.Job == runs[1].Start.Task.Job {
		t.Fatalf("started %d tasks within 5 s, want one of each job", len(runs))
	}
	for id, limit := range limits {
		if limit > 30 {
			t.Errorf("%s has a CPU limit of %d percent, want 30 at most", id, limit)
		}
	}
	if len(limits) != jobs {
		t.Errorf("CPU limits of %d runs were ordered, want %d", len(limits), jobs)
	}
	cycles(100, relaxed)
	for id, limit := range limits {
		if limit != 100 {
			t.Errorf("%s has a CPU limit of %d percent beside a task with slack, want 100", id, limit)
		}
	}
}
