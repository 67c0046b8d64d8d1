package batch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/task"
)

func TestJobRunsOnceToItsEnd(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		n := r.node("a")
		r.own(n)
		r.advanceTime(2 * time.Second)
		r.submit(n, spec("j", 10*time.Second))
		r.advanceTime(2 * time.Second)
		r.expectState(n, "j", task.Running)
		r.advanceTime(20 * time.Second)
		r.expectState(n, "j", task.Done)
		if runs := r.workers.runsOf("j"); len(runs) != 1 {
			t.Errorf("%d runs, want 1", len(runs))
		}
	})
}

func TestSubmitFromAnotherHost(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		a, b := r.node("a"), r.node("b")
		r.own(a)
		r.setOwnership(b)
		r.advanceTime(2 * time.Second)
		r.submit(b, spec("j", time.Second))
		again := spec("other", time.Second)
		again.Key = "key-j"
		s, kind, _ := b.Submit(context.Background(), again)
		if kind != outcome.Answered || s.ID != "j" || !s.Existing {
			t.Errorf("repeated submission with the key: %+v %v, want the existing job", s, kind)
		}
		again.RunMS++
		if _, kind, reason := b.Submit(context.Background(), again); kind != outcome.NotRun || reason != ReasonKeyConflict {
			t.Errorf("another job with the key: %v %s, want a key conflict", kind, reason)
		}
		huge := spec("huge", 0)
		huge.Resources.MemoryMB = 1 << 40
		if _, kind, reason := b.Submit(context.Background(), huge); kind != outcome.NotRun || !strings.HasPrefix(reason, ReasonNeverFits) {
			t.Errorf("a job that fits no host: %v %s, want never fits", kind, reason)
		}
	})
}

func TestReplayAdoptsRuns(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		a := r.node("a")
		r.own(a)
		r.advanceTime(2 * time.Second)
		r.submit(a, spec("j", 20*time.Second))
		r.advanceTime(2 * time.Second)
		a.kill()
		b := r.node("b")
		r.own(b)
		r.advanceTime(5 * time.Second)
		r.expectState(b, "j", task.Running)
		r.advanceTime(30 * time.Second)
		r.expectState(b, "j", task.Done)
		if runs := r.workers.runsOf("j"); len(runs) != 1 {
			t.Errorf("%d runs, want only the adopted one", len(runs))
		}
	})
}
