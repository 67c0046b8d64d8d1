package batch

import (
	"context"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/task"
)

const leasePhases = 20

// doubleRuns counts, over many moments at which a worker is cut off just after
// a renewal that arrived late, how often its run overlaps with the next one.
func doubleRuns(t *testing.T, f faults) int {
	count := 0
	for phase := range leasePhases {
		bubble(t, 2, func(r *rig) {
			r.faults = f
			n := r.started(time.Hour)
			r.settle(time.Duration(phase) * 50 * time.Millisecond)
			r.workers.set("w0", func(w *fakeWorker) {
				w.lag, w.slowStop = 900*time.Millisecond, 500*time.Millisecond
				w.loseReplies, w.cutAfter = 1, true
			})
			r.settle(time.Minute)
			r.state(n, "j", task.Running)
			r.expectRuns(2)
			if r.workers.overlap() != "" {
				count++
			}
		})
	}
	return count
}

func TestLeaseBuffer(t *testing.T) {
	with, without := doubleRuns(t, faults{}), doubleRuns(t, faults{noBuffer: true})
	t.Logf("double runs in %d: %d with the buffer, %d without", leasePhases, with, without)
	if with != 0 {
		t.Errorf("%d double runs with the buffer", with)
	}
	if without == 0 {
		t.Error("no double run without the buffer: the check proves nothing")
	}
}

func TestTerminalJobsAreSwept(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		r.keep = 5 * time.Minute
		n := r.started(time.Second)
		r.settle(3 * time.Minute)
		r.state(n, "j", task.Done)
		r.settle(5 * time.Minute)
		if _, kind, reason := n.Show(context.Background(), "j"); kind != outcome.NotRun || reason != ReasonNotFound {
			t.Errorf("a job past its retention: %v %s", kind, reason)
		}
		r.submit(n, spec("j", time.Second))
	})
}

// TestDoneInSilence loses every answer of a worker for longer than its lease,
// while its run comes to its end. Once the worker is heard again the job is
// done, and does not run a second time.
func TestDoneInSilence(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		n := r.started(10 * time.Second)
		lose := func(replies int) {
			for _, name := range []string{"w0", "w1"} {
				r.workers.set(name, func(w *fakeWorker) { w.loseReplies = replies })
			}
		}
		lose(1 << 30)
		r.settle(38 * time.Second)
		lose(0)
		r.settle(10 * time.Second)
		r.state(n, "j", task.Done)
		r.expectRuns(1)
	})
}
