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

// twoShards has a own one shard of w0, and b another of w1.
func (r *rig) twoShards() (a, b *node) {
	a, b = r.node("a"), r.node("b")
	owners := map[string]string{shard: "a", otherShard: "b"}
	for i, n := range []*node{a, b} {
		name := []string{shard, otherShard}[i]
		n.SetWorkers(map[string][]infra.Member{shard: r.members[:1], otherShard: r.members[1:]})
		n.SetOwnership(&ownership.Snapshot{Owners: owners, Grants: map[string]ownership.Grant{name: {
			Shard: name, Epoch: 1, Version: r.table.Put(shardKey(name), nil),
			Share: ownership.Full, Until: time.Now().Add(time.Hour),
		}}})
	}
	r.settle(2 * time.Second)
	return a, b
}

// fill has a's shard hold more than its worker does.
func (r *rig) fill(a *node, jobs int) {
	for i := range jobs {
		reply, _ := a.submitHere(r.t.Context(), submitRequest{Shard: shard, Spec: spec(fmt.Sprint("j", i), 30*time.Second)})
		if reply.Code != submitAccepted {
			r.t.Fatalf("submission %d: %+v", i, reply)
		}
	}
}

// loseMoved has b never hear of jobs that were handed over to it.
func (r *rig) loseMoved() {
	r.net.Remove("b", methodMoved)
}

func TestWaitingJobsMoveToAFreeShard(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("word lost ", lost), func(t *testing.T) {
			bubble(t, 2, func(r *rig) {
				a, _ := r.twoShards()
				if lost {
					r.loseMoved()
				}
				r.fill(a, 8)
				r.settle(25 * time.Second)
				for i := range 8 {
					r.state(a, fmt.Sprint("j", i), task.Running)
				}
				if got := r.countOn("w1"); got != 4 {
					t.Errorf("%d jobs on the other shard's worker, want 4", got)
				}
			})
		})
	}
}

func TestNoMoveToAShardThatChangedHands(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		a, b := r.twoShards()
		r.table.Put(shardKey(otherShard), []byte("c")) // b does not know yet
		r.fill(a, 8)
		r.settle(15 * time.Second)
		if c := b.Counts(); c.Pending+c.Running != 0 {
			t.Errorf("a late owner was handed jobs: %+v", c)
		}
		r.settle(time.Minute)
		for i := range 8 {
			r.state(a, fmt.Sprint("j", i), task.Done)
		}
	})
}

// TestMovesUnderFaults has jobs move while commits, answers and words to the
// new owner are lost: each ends once.
func TestMovesUnderFaults(t *testing.T) {
	const seeds, steps, jobs = 10, 40, 10
	for seed := range uint64(seeds) {
		bubble(t, 2, func(r *rig) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			a, b := r.twoShards()
			r.fill(a, jobs)
			for range steps {
				switch rnd.IntN(5) {
				case 0:
					r.table.Set(func(f *memtable.Faults) { f.LoseAnswers = 1 + rnd.IntN(2) })
				case 1:
					r.table.Set(func(f *memtable.Faults) { f.Down = !f.Down })
				case 2:
					r.table.Set(func(f *memtable.Faults) { f.HoldCommits = 1 })
				case 3:
					r.table.Deliver()
				case 4:
					r.loseMoved()
				}
				r.settle(time.Duration(rnd.IntN(2000)) * time.Millisecond)
			}
			r.table.Set(func(f *memtable.Faults) { *f = memtable.Faults{} })
			r.table.Deliver()
			r.settle(4 * time.Minute)
			for i := range jobs {
				r.state(b, fmt.Sprint("j", i), task.Done)
				if runs := r.workers.runsOf(fmt.Sprint("j", i)); len(runs) != 1 {
					t.Errorf("seed %d: j%d has %d runs, want 1", seed, i, len(runs))
				}
			}
		})
	}
}

// TestRescanFindsWhatNobodyToldOf has a job handed over with the word on it
// lost for good, and the owner's own wait for it over.
func TestRescanFindsWhatNobodyToldOf(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		n := r.started(2 * time.Minute)
		lost := task.New(spec("lost", time.Second))
		r.table.Put(jobKey(shard, "lost"), encode(lost))
		r.table.Put(refKey("lost"), []byte(shard))
		for range 20 {
			r.settle(3 * time.Second)
			id := fmt.Sprint("k", time.Now().UnixMilli())
			r.submit(n, spec(id, time.Second))
		}
		r.settle(time.Minute)
		r.state(n, "lost", task.Done)
		if runs := r.workers.runsOf("lost"); len(runs) != 1 {
			t.Errorf("%d runs, want 1", len(runs))
		}
		if c := n.Counts(); c.Pending != 0 {
			t.Errorf("%+v: something is counted twice", c)
		}
	})
}
