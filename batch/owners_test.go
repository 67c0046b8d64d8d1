package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/task"
)

// submitToStaleOwner submits a job to a former owner that does not know its
// successor, and returns the result.
func submitToStaleOwner(t *testing.T, f faults) (kind outcome.Kind) {
	bubble(t, 1, func(r *rig) {
		r.faults = f
		a, b := r.node("a"), r.node("b")
		r.own(a)
		r.advanceTime(2 * time.Second)
		r.workers.set("w0", func(w *fakeWorker) { w.cut = true })
		r.own(b)
		_, kind, _ = a.Submit(context.Background(), spec("j", time.Second))
		r.advanceTime(time.Second)
		if c := a.Counts(); f == (faults{}) && c.Shards != 0 {
			t.Errorf("the former owner still has %d shards", c.Shards)
		}
	})
	return kind
}

func TestStaleOwnerWritesNothing(t *testing.T) {
	if kind := submitToStaleOwner(t, faults{}); kind != outcome.NotRun {
		t.Errorf("submission to a former owner: %v, want not run", kind)
	}
	if submitToStaleOwner(t, faults{noFence: true}) != outcome.Answered {
		t.Error("submission without the fence was refused: the test can't detect a write by a former owner")
	}
}

// TestWorkerWithEpochsOfAnotherShard guards against a shard that is given up for a worker
// which is listed with another rack or zone: it has received the epochs of another shard's
// owners, which say nothing of this one.
func TestWorkerWithEpochsOfAnotherShard(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		r.workers.set("w0", func(w *fakeWorker) { w.ownerEpoch = 100 })
		n := r.node("a")
		r.own(n)
		r.advanceTime(3 * time.Second)
		if r.workers.refused == 0 {
			t.Fatal("the worker has refused no exchange")
		}
		r.submit(n, spec("j", time.Second))
		r.advanceTime(5 * time.Second)
		r.expectState(n, "j", task.Done)
		if runs := r.expectRuns(1); len(runs) == 1 && runs[0].worker != "w1" {
			t.Errorf("the job ran on %s, want the worker that takes orders", runs[0].worker)
		}
		r.workers.restart("w0")
		r.advanceTime(3 * time.Second)
		r.submit(n, spec("k", time.Second))
		r.advanceTime(5 * time.Second)
		if runs := r.workers.runsOf("k"); len(runs) != 1 || runs[0].worker != "w0" {
			t.Errorf("runs %+v, want one at the worker that takes orders again", runs)
		}
	})
}

func TestStaleOwnerIsRefusedByWorkers(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		a := r.started(time.Hour)
		b := r.node("b")
		r.own(b)
		r.advanceTime(3 * time.Second)
		if c := a.Counts(); c.Shards != 0 || r.workers.refused == 0 {
			t.Errorf("former owner: counts %+v, %d exchanges refused; want no shards and refused exchanges", c, r.workers.refused)
		}
		r.expectState(b, "j", task.Running)
		r.expectRuns(1)
	})
}

func TestExpiredGrantRenewsNoLease(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.started(time.Hour)
		exchanges := 0
		r.setOwnership(n, ownership.Grant{Shard: shard, Epoch: 1, Version: 1, Share: ownership.Full, Until: time.Now(), ShareAfter: ownership.Half})
		r.workers.mu.Lock()
		r.workers.hook = func(string, infra.Exchange) { exchanges++ }
		r.workers.mu.Unlock()
		r.advanceTime(10 * time.Second)
		if exchanges != 0 {
			t.Errorf("%d exchanges after the grant expired, want none", exchanges)
		}
	})
}

func TestStoreOutageAcrossHandOver(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		a := r.started(70 * time.Second)
		if err := a.Release(context.Background(), shard); err != nil {
			t.Fatal(err)
		}
		r.table.Set(func(f *memtable.Faults) { f.Down = true })
		b := r.node("b")
		r.own(b)
		r.advanceTime(time.Minute)
		if _, kind, _ := b.Submit(context.Background(), spec("other", 0)); kind != outcome.NotRun {
			t.Errorf("submission during the outage: %v, want not run", kind)
		}
		r.table.Set(func(f *memtable.Faults) { f.Down = false })
		r.advanceTime(30 * time.Second)
		r.expectState(b, "j", task.Done)
		r.expectRuns(1)
	})
}

func TestRewrittenOwnRowKeepsShard(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.started(time.Hour)
		r.table.Set(func(f *memtable.Faults) { f.Delay = 100 * time.Millisecond })
		result := make(chan outcome.Kind, 1)
		go func() {
			_, kind, _ := n.Submit(context.Background(), spec("k", time.Second))
			result <- kind
		}()
		synctest.Wait() // the submission's commit is in flight
		version := r.table.Put(shardKey(shard), []byte("a"))
		r.setOwnership(n, ownership.Grant{Shard: shard, Epoch: 1, Version: version, Share: ownership.Full, Until: time.Now().Add(time.Hour)})
		if kind := <-result; kind != outcome.NotRun {
			t.Errorf("submission with the old version of the shard's row: %v, want not run", kind)
		}
		if c := n.Counts(); c.Shards != 1 {
			t.Errorf("%d shards after the row was rewritten, want 1", c.Shards)
		}
		r.submit(n, spec("k", time.Second))
		r.advanceTime(5 * time.Second)
		r.expectState(n, "k", task.Done)
		r.expectState(n, "j", task.Running)
	})
}

func TestSubmissionDuringOutageIsNotRun(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.started(time.Hour)
		r.table.Set(func(f *memtable.Faults) { f.Down = true })
		for _, urgent := range []bool{false, true, false} {
			s := spec("k", time.Second)
			s.Urgent = urgent
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			if _, kind, reason := n.Submit(ctx, s); kind != outcome.NotRun || reason != ReasonStoreUnavailable {
				t.Errorf("submission during an outage: %v %s, want not run with the store unavailable", kind, reason)
			}
			cancel()
		}
		r.table.Set(func(f *memtable.Faults) { f.Down = false })
		r.advanceTime(10 * time.Second)
		if _, kind, reason := n.Show(context.Background(), "k"); kind == outcome.Answered {
			t.Errorf("a refused job exists (%s)", reason)
		}
	})
}
