package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/task"
)

const otherShard = "wk/zone/1"

// twoShards starts hosts a and b, which own one shard each: a that of w0, b that
// of w1.
func (r *rig) twoShards() (a, b *node) { return r.twoOwners(shard, otherShard) }

// twoOwners starts hosts a and b, which own one of two shards each: a that of w0, b that
// of w1.
func (r *rig) twoOwners(first, second string) (a, b *node) {
	a, b = r.node("a"), r.node("b")
	owners := map[string]string{first: "a", second: "b"}
	for i, n := range []*node{a, b} {
		name := []string{first, second}[i]
		n.SetWorkers(map[string][]infra.Member{first: r.members[:1], second: r.members[1:]})
		n.SetOwnership(&ownership.Snapshot{Owners: owners, Grants: map[string]ownership.Grant{name: {
			Shard: name, Epoch: 1, Version: r.table.Put(shardKey(name), nil),
			Share: ownership.Full, Until: time.Now().Add(time.Hour),
		}}})
	}
	r.advanceTime(2 * time.Second)
	return a, b
}

// submitJobs submits jobs to the shard of a.
func (r *rig) submitJobs(a *node, jobs int) {
	for i := range jobs {
		reply, _ := a.submitLocal(r.t.Context(), submitRequest{Shard: shard, Spec: spec(fmt.Sprint("j", i), 30*time.Second)})
		if reply.Code != submitAccepted {
			r.t.Fatalf("submission %d: %+v", i, reply)
		}
	}
}

// dropMovedCalls loses the notifications to b of jobs handed over to it.
func (r *rig) dropMovedCalls() {
	r.net.RemoveMethod("b", methodMoved)
}

func TestWaitingJobsMoveToAFreeShard(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("notification lost ", lost), func(t *testing.T) {
			bubble(t, 2, func(r *rig) {
				a, _ := r.twoShards()
				if lost {
					r.dropMovedCalls()
				}
				r.submitJobs(a, 8)
				r.advanceTime(25 * time.Second)
				for i := range 8 {
					r.expectState(a, fmt.Sprint("j", i), task.Running)
				}
				if got := r.countOn("w1"); got != 4 {
					t.Errorf("%d jobs on the other shard's worker, want 4", got)
				}
			})
		})
	}
}

func TestNoMoveToShardWithNewOwner(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		a, b := r.twoShards()
		r.table.Put(shardKey(otherShard), []byte("c")) // unknown to b
		r.submitJobs(a, 8)
		r.advanceTime(15 * time.Second)
		if c := b.Counts(); c.Pending+c.Running != 0 {
			t.Errorf("jobs were handed over to a former owner: %+v", c)
		}
		r.advanceTime(time.Minute)
		for i := range 8 {
			r.expectState(a, fmt.Sprint("j", i), task.Done)
		}
	})
}

// TestJobMovesUnderFaults checks that each job runs exactly once when jobs move
// while commits, their results and notifications are lost.
func TestJobMovesUnderFaults(t *testing.T) {
	const seeds, steps, jobs = 10, 40, 10
	for seed := range uint64(seeds) {
		bubble(t, 2, func(r *rig) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			a, b := r.twoShards()
			r.submitJobs(a, jobs)
			for range steps {
				switch rnd.IntN(5) {
				case 0:
					r.table.Set(func(f *memtable.Faults) { f.LoseAnswers = 1 + rnd.IntN(2) })
				case 1:
					r.table.Set(func(f *memtable.Faults) { f.Down = !f.Down })
				case 2:
					r.table.Set(func(f *memtable.Faults) { f.HoldCommits = 1 })
				case 3:
					r.table.DeliverHeld()
				case 4:
					r.dropMovedCalls()
				}
				r.advanceTime(time.Duration(rnd.IntN(2000)) * time.Millisecond)
			}
			r.table.Set(func(f *memtable.Faults) { *f = memtable.Faults{} })
			r.table.DeliverHeld()
			r.advanceTime(4 * time.Minute)
			for i := range jobs {
				r.expectState(b, fmt.Sprint("j", i), task.Done)
				if runs := r.workers.runsOf(fmt.Sprint("j", i)); len(runs) != 1 {
					t.Errorf("seed %d: j%d has %d runs, want 1", seed, i, len(runs))
				}
			}
		})
	}
}

// TestRescanFindsJobWithLostNotification checks that a rescan finds a job that
// was handed over without a notification and is not expected any more.
func TestRescanFindsJobWithLostNotification(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.started(2 * time.Minute)
		lost := task.New(spec("lost", time.Second))
		r.table.Put(jobKey(shard, "lost"), encode(lost))
		r.table.Put(refKey("lost"), []byte(shard))
		for range 20 {
			r.advanceTime(3 * time.Second)
			id := fmt.Sprint("k", time.Now().UnixMilli())
			r.submit(n, spec(id, time.Second))
		}
		r.advanceTime(time.Minute)
		r.expectState(n, "lost", task.Done)
		if runs := r.workers.runsOf("lost"); len(runs) != 1 {
			t.Errorf("%d runs, want 1", len(runs))
		}
		if c := n.Counts(); c.Pending != 0 {
			t.Errorf("counts %+v, want no pending job", c)
		}
	})
}
