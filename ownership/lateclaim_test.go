//go:build !race

package ownership

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/roster"
)

// lateClaimSeeds is the number of seeds of TestClaimOfEndedProcessIsVoid.
const lateClaimSeeds = 200

// simulateLateClaim cuts the owner of a worker shard off from the table and
// from one of its successors. That successor claims the shard; its claim is
// slow, and its process is killed and soon back, reaching the owner again. The
// claim reaches the table only then.
func simulateLateClaim(seed uint64, f flaws) *simCluster {
	c := newSimCluster(seed, 4+int(seed%3), 2, f)
	c.run(15*time.Second + c.between(0, 3000))
	shard := c.shards()[slices.IndexFunc(c.shards(), func(s string) bool { return !roster.IsEndpointShard(s) })]
	owner := c.ownerOf(shard)
	if owner == nil {
		return c
	}
	owner.partitionFromTable(time.Minute)
	successor := c.host(owner.machine.shards[shard].row.Successors[0])
	pair := [2]string{min(owner.name, successor.name), max(owner.name, successor.name)}
	c.partitions[pair] = true
	successor.slowShardWritePercent = 100
	for range 1000 {
		c.run(20 * time.Millisecond)
		if s := successor.machine.shards[shard]; s != nil && s.claim != nil {
			break
		}
	}
	successor.alive = false
	successor.slowShardWritePercent = 0
	delete(c.partitions, pair)
	c.run(c.between(0, 500))
	successor.restart()
	c.run(15 * time.Second)
	return c
}

// TestClaimOfEndedProcessIsVoid checks that no owner is kept in office by the
// promise of a process whose predecessor's claim takes effect afterwards.
func TestClaimOfEndedProcessIsVoid(t *testing.T) {
	late, detected := 0, 0
	for seed := range uint64(lateClaimSeeds) {
		c := simulateLateClaim(seed, flaws{})
		if c.violation != "" {
			t.Errorf("seed %d: %s", seed, c.violation)
		}
		late += c.lateRenewals
		if c := simulateLateClaim(seed, flaws{claimsOutliveProcess: true}); c.violation != "" {
			detected++
		}
	}
	t.Logf("%d renewals of task leases under a succeeded owner in %d runs; without the mechanism: violation detected in %d", late, lateClaimSeeds, detected)
	if detected == 0 {
		t.Error("without the mechanism: no violation detected in any run")
	}
}
