package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/task"
)

// started returns an owner with job "j" running on w0.
func (r *rig) started(run time.Duration) *node {
	r.t.Helper()
	n := r.node("a")
	r.own(n)
	r.advanceTime(2 * time.Second)
	r.submit(n, spec("j", run))
	r.advanceTime(3 * time.Second)
	return n
}

// evict makes the planner evict the job.
func (n *node) evict(job string) {
	n.post(func(time.Time) {
		n.planner.nextActions = append(n.planner.nextActions, placement.Action{Kind: placement.Evict, Job: job})
		if o := n.shards[shard]; o != nil {
			o.planNeeded = true
		}
	})
}

// expectRuns checks the number of runs of "j" and returns them.
func (r *rig) expectRuns(want int) []runInterval {
	r.t.Helper()
	runs := r.workers.runsOf("j")
	if len(runs) != want {
		r.t.Errorf("%d runs, want %d: %+v", len(runs), want, runs)
	}
	return runs
}

// runWithWorkerCutOff makes w0 unreachable while "j" runs there, and returns the
// violation found in the history, if any.
func runWithWorkerCutOff(t *testing.T, f faults) (violation string) {
	bubble(t, 2, func(r *rig) {
		r.faults = f
		n := r.started(time.Hour)
		r.workers.set("w0", func(w *fakeWorker) { w.cut = true })
		r.advanceTime(time.Minute)
		r.workers.set("w0", func(w *fakeWorker) { w.cut = false })
		r.advanceTime(5 * time.Second)
		r.expectState(n, "j", task.Running)
		r.expectRuns(2)
		violation = r.workers.overlap()
	})
	return violation
}

func TestExpiredRunRestartsElsewhere(t *testing.T) {
	if violation := runWithWorkerCutOff(t, faults{}); violation != "" {
		t.Error(violation)
	}
	if runWithWorkerCutOff(t, faults{lapseAtOnce: true}) == "" {
		t.Error("no violation found for an owner that does not wait for the lease")
	}
}

// runOwnerKilledBeforeCommit kills the owner while a start's commit is in
// flight, with w0 unreachable for the next owner, and returns the violation found
// in the history, if any.
func runOwnerKilledBeforeCommit(t *testing.T, f faults) (violation string) {
	bubble(t, 2, func(r *rig) {
		r.faults = f
		a := r.node("a")
		r.own(a)
		r.advanceTime(2 * time.Second)
		r.table.Set(func(f *memtable.Faults) { f.Delay = 500 * time.Millisecond })
		r.submit(a, spec("j", time.Hour))
		r.advanceTime(100 * time.Millisecond)
		a.kill()
		r.workers.set("w0", func(w *fakeWorker) { w.cut = true })
		b := r.node("b")
		r.own(b)
		r.advanceTime(10 * time.Second)
		if f == (faults{}) {
			r.expectState(b, "j", task.Running)
		}
		violation = r.workers.overlap()
	})
	return violation
}

func TestStartIsDurableBeforeItsOrder(t *testing.T) {
	if violation := runOwnerKilledBeforeCommit(t, faults{}); violation != "" {
		t.Error(violation)
	}
	if runOwnerKilledBeforeCommit(t, faults{sendBeforeDurable: true}) == "" {
		t.Error("no violation found for an owner that sends a start before its commit")
	}
}

func TestOwnerDiesBetweenCommitAndOrder(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		a := r.node("a")
		r.own(a)
		r.advanceTime(2 * time.Second)
		r.workers.set("w0", func(w *fakeWorker) { w.cut = true })
		r.submit(a, spec("j", 10*time.Second))
		r.advanceTime(500 * time.Millisecond)
		r.expectState(a, "j", task.Starting)
		a.kill()
		r.workers.set("w0", func(w *fakeWorker) { w.cut = false })
		b := r.node("b")
		r.own(b)
		r.advanceTime(20 * time.Second)
		rec := r.expectState(b, "j", task.Done)
		if r.expectRuns(1); rec.Epoch != 2 {
			t.Errorf("epoch %d, want 2: the first start never reached its worker", rec.Epoch)
		}
	})
}

func TestEvictedResumesOnceFromItsCheckpoint(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		n := r.started(time.Hour)
		r.workers.set("w0", func(w *fakeWorker) { w.loseReplies = 3 })
		n.evict("j")
		r.advanceTime(10 * time.Second)
		rec := r.expectState(n, "j", task.Running)
		runs := r.expectRuns(2)
		if rec.Evictions != 1 || len(runs) == 2 && runs[1].checkpoint == "" {
			t.Errorf("evictions %d, runs %+v: want one, resumed from a checkpoint", rec.Evictions, runs)
		}
	})
}

func TestCheckpointLost(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		n := r.started(time.Hour)
		r.workers.set("w0", func(w *fakeWorker) { w.loseCheckpoints = true })
		n.evict("j")
		r.advanceTime(5 * time.Second)
		if rec := r.expectState(n, "j", task.Running); rec.LostMS == 0 || rec.Checkpoint != "" {
			t.Errorf("record %+v: want the work counted as lost", rec)
		}
		r.expectRuns(2)
	})
}

func TestOwnerDiesDuringEviction(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond} {
		bubble(t, 2, func(r *rig) {
			a := r.started(time.Hour)
			r.table.Set(func(f *memtable.Faults) { f.Delay = 20 * time.Millisecond })
			a.evict("j")
			r.advanceTime(wait)
			a.kill()
			b := r.node("b")
			r.own(b)
			r.advanceTime(5 * time.Second)
			rec := r.expectState(b, "j", task.Running)
			r.expectRuns(1 + rec.Evictions)
		})
	}
}

func TestEvictedWhileFinishing(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		n := r.started(5 * time.Second)
		r.workers.set("w0", func(w *fakeWorker) { w.loseReplies = 4 })
		r.advanceTime(2100 * time.Millisecond)
		n.evict("j")
		r.advanceTime(10 * time.Second)
		r.expectState(n, "j", task.Done)
		r.expectRuns(1)
	})
}

func TestLostCommitAnswers(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		n := r.node("a")
		r.own(n)
		r.advanceTime(2 * time.Second)
		r.table.Set(func(f *memtable.Faults) { f.LoseAnswers = 3 })
		r.submit(n, spec("j", time.Second))
		r.advanceTime(10 * time.Second)
		r.expectState(n, "j", task.Done)
		r.expectRuns(1)
	})
}

func TestCancelRacingStart(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.node("a")
		r.own(n)
		r.advanceTime(2 * time.Second)
		r.table.Set(func(f *memtable.Faults) { f.Delay = 200 * time.Millisecond })
		r.submit(n, spec("j", time.Hour))
		r.advanceTime(50 * time.Millisecond) // the start's commit is in flight
		reply, _ := n.cancelLocal(context.Background(), jobRequest{Shard: shard, ID: "j"})
		if reply.Code != cancelNeverRan {
			t.Errorf("cancel: %+v, want cancelNeverRan", reply)
		}
		r.advanceTime(3 * time.Second)
		r.expectState(n, "j", task.Cancelled)
		r.expectRuns(0)
	})
}

func TestCancelOfARunningJob(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.started(time.Hour)
		if _, kind, reason := n.Cancel(context.Background(), "j"); kind != outcome.Answered {
			t.Errorf("cancel: %v %s", kind, reason)
		}
		r.advanceTime(3 * time.Second)
		r.expectState(n, "j", task.Cancelled)
		if runs := r.expectRuns(1); runs[0].to.IsZero() {
			t.Error("the cancelled job's run has not ended")
		}
		synctest.Wait()
	})
}

func TestUrgentJobStartsWithItsSubmission(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.node("a")
		r.own(n)
		r.advanceTime(2 * time.Second)
		r.table.Set(func(f *memtable.Faults) { f.Delay = 500 * time.Millisecond })
		s := spec("j", 10*time.Second)
		s.Urgent = true
		begin := time.Now()
		r.submit(n, s)
		r.advanceTime(time.Second)
		if runs := r.expectRuns(1); len(runs) == 1 && runs[0].from.Sub(begin) > 600*time.Millisecond {
			t.Errorf("started after %v, want at most 600 ms", runs[0].from.Sub(begin))
		}
		r.advanceTime(15 * time.Second)
		r.expectState(n, "j", task.Done)
	})
}

func TestRefusedUrgentSubmissionFreesCapacity(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.node("a")
		r.own(n)
		r.advanceTime(2 * time.Second)
		s := spec("j", time.Second)
		s.Urgent = true
		s.Resources.MilliCPU = 4000
		r.table.Set(func(f *memtable.Faults) { f.Down = true })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, kind, _ := n.Submit(ctx, s); kind == outcome.Answered {
			t.Error("a submission was accepted while the table was unavailable")
		}
		r.table.Set(func(f *memtable.Faults) { f.Down = false })
		r.advanceTime(5 * time.Second)
		r.submit(n, s)
		r.advanceTime(10 * time.Second)
		r.expectState(n, "j", task.Done)
		r.expectRuns(1)
	})
}

func TestCancelOfAStartThatNeverArrived(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.node("a")
		r.own(n)
		r.advanceTime(2 * time.Second)
		r.workers.set("w0", func(w *fakeWorker) { w.cut = true })
		r.submit(n, spec("j", time.Hour))
		r.advanceTime(500 * time.Millisecond)
		if _, kind, reason := n.Cancel(context.Background(), "j"); kind != outcome.Answered {
			t.Errorf("cancel: %v %s", kind, reason)
		}
		r.advanceTime(2 * time.Second)
		r.workers.set("w0", func(w *fakeWorker) { w.cut = false })
		r.advanceTime(5 * time.Second)
		r.expectState(n, "j", task.Cancelled)
		r.expectRuns(0)
	})
}
