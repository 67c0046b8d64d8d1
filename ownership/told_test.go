package ownership

import (
	"testing"
	"time"
)

// TestOwnerStopsWhenToldOfSuccessor checks that an owner uses a shard no more,
// and a successor promises it nothing, once a peer has told them of a later
// owner, although neither can read the table.
func TestOwnerStopsWhenToldOfSuccessor(t *testing.T) {
	c := newSimCluster(1, 5, 2, flaws{})
	c.run(20 * time.Second)
	for _, shard := range c.shards() {
		owner := c.ownerOf(shard)
		if owner == nil {
			t.Fatalf("%s has no owner", shard)
		}
		now := owner.clock()
		if g := owner.machine.Snapshot().Grants[shard]; g.At(now) != Full {
			t.Fatalf("%s: share %v before, want full", shard, g.At(now))
		}
		row := owner.machine.shards[shard].row
		update := OwnerUpdate{Shard: shard, Epoch: row.Epoch + 1, Version: c.table.version + 1, Owner: "other"}
		successor := c.host(row.Successors[0])
		request := PromiseRequest{Owner: owner.machine.self(), Shards: []ShardEpoch{{Shard: shard, Epoch: row.Epoch}}}
		successor.machine.Notified(successor.clock(), []OwnerUpdate{update})
		if reply, _ := successor.machine.PromiseAsked(successor.clock(), request); reply.Promised && len(reply.Refused) == 0 {
			t.Errorf("%s: the successor promised the owner of epoch %d, told of epoch %d", shard, row.Epoch, update.Epoch)
		}
		owner.machine.Notified(now, []OwnerUpdate{update})
		if g := owner.machine.Snapshot().Grants[shard]; g.At(now) != None {
			t.Errorf("%s: the owner of epoch %d uses share %v, told of epoch %d", shard, row.Epoch, g.At(now), update.Epoch)
		}
	}
}
