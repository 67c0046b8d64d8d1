package batch

import (
	"context"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/task"
)

const leasePhases = 20

// countDoubleRuns makes a worker unreachable right after a delayed renewal, at
// leasePhases different times, and returns how often its run overlaps with the
// next one.
func countDoubleRuns(t *testing.T, f faults) int {
	count := 0
	for phase := range leasePhases {
		bubble(t, 2, func(r *rig) {
			r.faults = f
			n := r.started(time.Hour)
			r.advanceTime(time.Duration(phase) * 50 * time.Millisecond)
			r.workers.set("w0", func(w *fakeWorker) {
				w.lag, w.slowStop = 900*time.Millisecond, 500*time.Millisecond
				w.loseReplies, w.cutAfterLostReply = 1, true
			})
			r.advanceTime(time.Minute)
			r.expectState(n, "j", task.Running)
			r.expectRuns(2)
			if r.workers.overlap() != "" {
				count++
			}
		})
	}
	return count
}

func TestLeaseBuffer(t *testing.T) {
	with, without := countDoubleRuns(t, faults{}), countDoubleRuns(t, faults{noBuffer: true})
	t.Logf("double runs in %d attempts: %d with the buffer, %d without", leasePhases, with, without)
	if with != 0 {
		t.Errorf("%d double runs with the buffer, want none", with)
	}
	if without == 0 {
		t.Error("no double run without the buffer: the test can't detect one")
	}
}

func TestTerminalJobsAreSwept(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		r.retention = 5 * time.Minute
		n := r.started(time.Second)
		r.advanceTime(3 * time.Minute)
		r.expectState(n, "j", task.Done)
		r.advanceTime(5 * time.Minute)
		if _, kind, reason := n.Show(context.Background(), "j"); kind != outcome.NotRun || reason != ReasonNotFound {
			t.Errorf("show of a job past its retention: %v %s, want not found", kind, reason)
		}
		r.submit(n, spec("j", time.Second))
	})
}

// TestRunFinishedWhileUnreachableIsNotRerun loses all replies of a worker for
// longer than its lease while its run finishes. Once a reply arrives, the job
// must be done without a second run.
func TestRunFinishedWhileUnreachableIsNotRerun(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		n := r.started(10 * time.Second)
		lose := func(replies int) {
			for _, name := range []string{"w0", "w1"} {
				r.workers.set(name, func(w *fakeWorker) { w.loseReplies = replies })
			}
		}
		lose(1 << 30)
		r.advanceTime(38 * time.Second)
		lose(0)
		r.advanceTime(10 * time.Second)
		r.expectState(n, "j", task.Done)
		r.expectRuns(1)
	})
}
