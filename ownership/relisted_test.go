//go:build !race

package ownership

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/roster"
)

// relistedSeeds is the number of seeds of TestRelistedOwnerIsNotPromised.
const relistedSeeds = 100

// pausedOverDrop is longer than the list drops the owner in simulateRelisted.
const pausedOverDrop = 21 * time.Second

// simulateRelisted cuts the owner of a worker shard and its successors off from
// the table and all other hosts. The list drops the owner, which misses that
// list, for long enough that another host takes over, and lists it again. In
// every second seed the owner reads the new list. If paused is set, the
// successors stand still until then.
func simulateRelisted(seed uint64, paused bool, f flaws) *simCluster {
	c := newSimCluster(seed, 5+int(seed%3), 2, f)
	c.lossPercent = int(seed % 4)
	c.run(15*time.Second + c.between(0, 3000))
	shard := c.shards()[slices.IndexFunc(c.shards(), func(s string) bool { return !roster.IsEndpointShard(s) })]
	owner := c.ownerOf(shard)
	if owner == nil {
		return c
	}
	owner.partitionFromTable(time.Minute)
	owner.listPartitioned = true
	group := []*simHost{owner}
	for _, name := range owner.machine.shards[shard].row.Successors {
		group = append(group, c.host(name))
		c.host(name).partitionFromTable(time.Minute)
	}
	c.partitionGroup(group)
	c.run(c.between(0, 3000))
	if paused {
		for _, h := range group[1:] {
			h.pausedUntil = c.now.Add(pausedOverDrop)
		}
	}
	c.setListed(owner, false)
	c.run(c.between(13000, 20000))
	owner.listPartitioned = seed%2 == 0
	c.setListed(owner, true)
	c.run(25 * time.Second)
	return c
}

// partitionGroup partitions a group of hosts from all others.
func (c *simCluster) partitionGroup(group []*simHost) {
	for _, h := range group {
		for _, o := range c.hosts {
			if !slices.Contains(group, o) {
				c.partitions[[2]string{min(h.name, o.name), max(h.name, o.name)}] = true
			}
		}
	}
}

// TestRelistedOwnerIsNotPromised checks that an owner that the list dropped for
// a while is not kept in office by successors that can't read who has taken
// over meanwhile.
func TestRelistedOwnerIsNotPromised(t *testing.T) {
	seizures, detected := 0, 0
	for seed := range uint64(relistedSeeds) {
		c := simulateRelisted(seed, false, flaws{})
		if c.violation != "" {
			t.Errorf("seed %d: %s", seed, c.violation)
		}
		seizures += c.seizures
		if c := simulateRelisted(seed, false, flaws{promiseRelisted: true}); c.violation != "" {
			detected++
		}
	}
	t.Logf("%d seizures in %d runs; without the mechanism: violation detected in %d", seizures, relistedSeeds, detected)
	if detected == 0 {
		t.Error("without the mechanism: no violation detected in any run")
	}
}

// TestPausedSuccessorDoesNotPromise checks the same with successors that stand
// still while the list drops the owner, and so miss it.
func TestPausedSuccessorDoesNotPromise(t *testing.T) {
	detected := 0
	for seed := range uint64(relistedSeeds) {
		if c := simulateRelisted(seed, true, flaws{}); c.violation != "" {
			t.Errorf("seed %d: %s", seed, c.violation)
		}
		if c := simulateRelisted(seed, true, flaws{resumePaused: true}); c.violation != "" {
			detected++
		}
	}
	t.Logf("without the mechanism: violation detected in %d of %d runs", detected, relistedSeeds)
	if detected == 0 {
		t.Error("without the mechanism: no violation detected in any run")
	}
}

// TestFirstRequestAfterPauseIsRefused checks that a process which a request for
// a promise wakes from a pause does not promise by the rows of before.
func TestFirstRequestAfterPauseIsRefused(t *testing.T) {
	c := newSimCluster(1, 5, 2, flaws{})
	c.run(20 * time.Second)
	shard := c.shards()[0]
	owner := c.ownerOf(shard)
	row := owner.machine.shards[shard].row
	successor := c.host(row.Successors[0])
	request := PromiseRequest{Owner: owner.machine.self(), Shards: []ShardEpoch{{Shard: shard, Epoch: row.Epoch}}}
	if reply, _ := successor.machine.PromiseAsked(successor.clock(), request); !reply.Promised || len(reply.Refused) != 0 {
		t.Fatalf("before the pause: reply %+v, want a promise", reply)
	}
	woken := successor.clock().Add(2 * successor.lease.Session.D())
	if reply, _ := successor.machine.PromiseAsked(woken, request); reply.Promised && len(reply.Refused) == 0 {
		t.Errorf("after the pause: reply %+v, want none", reply)
	}
}
