package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/platform"
	"github.com/fireflygate/fireflygate/task"
)

const otherShard = "wk/zone/1"

// twoShards has a own one shard of w0, and b another of w1.
func (r *rig) twoShards() (a, b *node) {
	a, b = r.node("a"), r.node("b")
	owners := map[string]string{shard: "a", otherShard: "b"}
	for i, n := range []*node{a, b} {
		name := []string{shard, otherShard}[i]
		n.SetWorkers(map[string][]platform.Member{shard: r.members[:1], otherShard: r.members[1:]})
		n.SetView(&ownership.View{Owners: owners, Grants: map[string]ownership.Grant{name: {
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

func TestWaitingJobsMoveToAFreeShard(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("word lost ", lost), func(t *testing.T) {
			bubble(t, 2, func(r *rig) {
				a, _ := r.twoShards()
				if lost {
					delete(r.net.handlers["b"], methodMoved)
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
