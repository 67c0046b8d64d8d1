//go:build !race

package ownership

import (
	"testing"
	"time"
)

// The seeds of TestVoidClaimMayHaveTakenEffect are firstLostClaimSeed up to but
// not including lastLostClaimSeed.
const (
	firstLostClaimSeed = 140
	lastLostClaimSeed  = 200
)

// simulateLostClaims cuts the owner of several shards off, so that others claim
// them. The answers to half of the claims are lost, half of them are slow, and
// reads fail for some time. The owner is back then, but gets no answers to its
// renewals.
func simulateLostClaims(seed uint64, f flaws) *simCluster {
	const outage = 8 * time.Second
	c := newSimCluster(seed, 3+int(seed%3), 12, f)
	c.run(25*time.Second + c.between(0, 3000))
	owner := c.hosts[c.rand.IntN(len(c.hosts))]
	cut := c.between(4500, 7000)
	owner.partitionFromTable(cut)
	owner.partitionFromPeers(cut)
	for _, h := range c.hosts {
		h.ackLossPercent, h.slowShardWritePercent = 50, 50
	}
	owner.ackLossPercent, owner.slowShardWritePercent = 100, 0
	c.after(cut+c.between(-1500, 500), func() { c.readsDown = true })
	c.after(cut+outage, func() {
		c.readsDown = false
		for _, h := range c.hosts {
			h.ackLossPercent, h.slowShardWritePercent = 0, 0
		}
	})
	c.run(25 * time.Second)
	return c
}

// TestVoidClaimMayHaveTakenEffect checks that a host whose claim can no longer
// take effect, since the owner has renewed its session, promises the owner
// nothing before it knows whether the claim took effect earlier.
func TestVoidClaimMayHaveTakenEffect(t *testing.T) {
	detected := 0
	for seed := uint64(firstLostClaimSeed); seed < lastLostClaimSeed; seed++ {
		if c := simulateLostClaims(seed, flaws{}); c.violation != "" {
			t.Errorf("seed %d: %s", seed, c.violation)
		}
		if c := simulateLostClaims(seed, flaws{dropVoidUnread: true}); c.violation != "" {
			detected++
		}
	}
	t.Logf("without the mechanism: violation detected in %d of %d runs", detected, lastLostClaimSeed-firstLostClaimSeed)
	if detected == 0 {
		t.Error("without the mechanism: no violation detected in any run")
	}
}
