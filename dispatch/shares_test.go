package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/workload"
)

// queueSteady is a queue with a guaranteed share.
var queueSteady = workload.Queue{
	Name: "steady", Pool: pool, Priority: 2, MaxAttempts: 2, Stretch: 2, Target: time.Second, GuaranteedShare: 0.4,
}

// burstJobs describes the jobs that a queue submits in a simulated burst.
type burstJobs struct {
	queue workload.Queue
	tasks int
	cores int64
	run   time.Duration
	// perSecond is the number of jobs per second, and inBurst that from second 4 to 10.
	perSecond, inBurst int
	bestEffort         bool
	// image is that of all the tasks, empty for none.
	image string
}

// runShares simulates two queues for 12 s, with serving tasks if serving is set, and
// returns the part of the first queue's jobs that are on time, and the runs reclaimed.
func runShares(t *testing.T, disabled mechanism.Set, serving bool, both [2]burstJobs) (onTime float64, reclaimed uint64) {
	t.Helper()
	jobs, good := 0, 0
	for seed := range uint64(3) {
		b := newIdleBurst(newBurstRig(t, disabled, queueShort, both[0].queue, both[1].queue), seed)
		if serving {
			b.startServing()
		}
		for second := range 12 {
			for q, load := range both {
				n := load.perSecond
				if second >= 4 && second < 10 {
					n = load.inBurst
				}
				for i := range n {
					s := step(load.tasks, load.cores, func(s *workload.Step) {
						s.Needs.MemoryMB, s.Estimate, s.BestEffort, s.Checkpointing = 500, load.run, load.bestEffort, true
						s.Image = load.image
					})
					b.submitSteps(load.queue, fmt.Sprint("queue", q, "-", second, "-", i), []workload.Step{s})
				}
			}
			b.run(time.Second)
		}
		b.run(10 * time.Second)
		for id, due := range b.due {
			if strings.HasPrefix(id, "queue0") {
				jobs++
				if end := b.ended[id]; !end.IsZero() && !end.After(due) {
					good++
				}
			}
		}
		reclaimed += b.state.Stats.Reclaimed
	}
	return float64(good) / float64(jobs), reclaimed
}

// TestSharesUnderBurst guards against a burst in one queue that delays another queue whose
// demand is steady and within its share: nearly all of its jobs must be on time, which
// without shares are late.
func TestSharesUnderBurst(t *testing.T) {
	burst := queueShort
	burst.Name = "burst"
	for _, c := range []struct {
		name    string
		serving bool
		jobs    [2]burstJobs
	}{
		{"a queue of higher priority", false, [2]burstJobs{
			{queue: queueSteady, tasks: 10, cores: 5, run: 1400 * time.Millisecond, perSecond: 2, inBurst: 2},
			{queue: burst, tasks: 10, cores: 7, run: 4 * time.Second, perSecond: 1, inBurst: 4},
		}},
		{"best-effort tasks beside serving tasks", true, [2]burstJobs{
			{queue: queueSteady, tasks: 10, cores: 1, run: 1400 * time.Millisecond, perSecond: 2, inBurst: 2, bestEffort: true, image: "batch0"},
			{queue: burst, tasks: 20, cores: 2, run: 4 * time.Second, perSecond: 3, inBurst: 12, bestEffort: true, image: "batch0"},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			with, reclaimed := runShares(t, 0, c.serving, c.jobs)
			without, _ := runShares(t, mechanism.Of(mechanism.Shares), c.serving, c.jobs)
			t.Logf("on time %.2f with shares, %.2f without; %d runs reclaimed", with, without, reclaimed)
			if with < 0.95 || without > 0.7 {
				t.Errorf("on time %.2f with shares and %.2f without, want at least 0.95 and at most 0.7", with, without)
			}
			if reclaimed == 0 {
				t.Error("nothing was reclaimed, so that the load shows little")
			}
		})
	}
}
