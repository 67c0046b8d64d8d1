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

// lateSubmit has an owner that was succeeded take a job, and returns what the
// caller is told.
func lateSubmit(t *testing.T, f faults) (kind outcome.Kind) {
	bubble(t, 1, func(r *rig) {
		r.faults = f
		a, b := r.node("a"), r.node("b")
		r.own(a)
		r.settle(2 * time.Second)
		r.workers.set("w0", func(w *fakeWorker) { w.cut = true })
		r.own(b)
		_, kind, _ = a.Submit(context.Background(), spec("j", time.Second))
		r.settle(time.Second)
		if c := a.Counts(); f == (faults{}) && c.Shards != 0 {
			t.Errorf("the old owner still holds %d shards", c.Shards)
		}
	})
	return kind
}

func TestLateOwnerWritesNothing(t *testing.T) {
	if kind := lateSubmit(t, faults{}); kind != outcome.NotRun {
		t.Errorf("a submission to a late owner: %v, want not run", kind)
	}
	if lateSubmit(t, faults{noFence: true}) != outcome.Answered {
		t.Error("a submission without the fence is refused: the check proves nothing")
	}
}

func TestLateOwnerIsRefusedByWorkers(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		a := r.started(time.Hour)
		b := r.node("b")
		r.own(b)
		r.settle(3 * time.Second)
		if c := a.Counts(); c.Shards != 0 || r.workers.refused == 0 {
			t.Errorf("old owner: %+v, %d exchanges refused", c, r.workers.refused)
		}
		r.state(b, "j", task.Running)
		r.expectRuns(1)
	})
}

func TestLapsedGrantRenewsNoLease(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.started(time.Hour)
		seen := 0
		r.tell(n, ownership.Grant{Shard: shard, Epoch: 1, Version: 1, Share: ownership.Full, Until: time.Now(), ShareAfter: ownership.Half})
		r.workers.mu.Lock()
		r.workers.hook = func(string, infra.Exchange) { seen++ }
		r.workers.mu.Unlock()
		r.settle(10 * time.Second)
		if seen != 0 {
			t.Errorf("%d exchanges after the grant lapsed", seen)
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
		r.settle(time.Minute)
		if _, kind, _ := b.Submit(context.Background(), spec("other", 0)); kind != outcome.NotRun {
			t.Errorf("a submission during the outage: %v", kind)
		}
		r.table.Set(func(f *memtable.Faults) { f.Down = false })
		r.settle(30 * time.Second)
		r.state(b, "j", task.Done)
		r.expectRuns(1)
	})
}

func TestOwnRowWrittenAnewKeepsTheShard(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.started(time.Hour)
		r.table.Set(func(f *memtable.Faults) { f.Delay = 100 * time.Millisecond })
		result := make(chan outcome.Kind, 1)
		go func() {
			_, kind, _ := n.Submit(context.Background(), spec("k", time.Second))
			result <- kind
		}()
		synctest.Wait() // the submission is on its way
		version := r.table.Put(shardKey(shard), []byte("a"))
		r.tell(n, ownership.Grant{Shard: shard, Epoch: 1, Version: version, Share: ownership.Full, Until: time.Now().Add(time.Hour)})
		if kind := <-result; kind != outcome.NotRun {
			t.Errorf("submission under the old version: %v, want not run", kind)
		}
		if c := n.Counts(); c.Shards != 1 {
			t.Errorf("%d shards, want the one kept", c.Shards)
		}
		r.submit(n, spec("k", time.Second))
		r.settle(5 * time.Second)
		r.state(n, "k", task.Done)
		r.state(n, "j", task.Running)
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
				t.Errorf("submission during an outage: %v %s", kind, reason)
			}
			cancel()
		}
		r.table.Set(func(f *memtable.Faults) { f.Down = false })
		r.settle(10 * time.Second)
		if _, kind, reason := n.Show(context.Background(), "k"); kind == outcome.Answered {
			t.Errorf("a job that was refused is held (%s)", reason)
		}
	})
}
