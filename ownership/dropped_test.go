package ownership

import (
	"testing"
	"time"
)

// simulateDrop pauses a host and partitions it from the table and its peers.
// The membership list drops the host and lists it again before it resumes.
func simulateDrop(seed uint64, f flaws) *simCluster {
	c := newSimCluster(seed, 4, 4, f)
	c.maxLengthRequests = true
	c.run(20*time.Second + c.between(0, 5000))
	h := c.hosts[c.rand.IntN(len(c.hosts))]
	h.partitionFromTable(60 * time.Second)
	h.partitionFromPeers(60 * time.Second)
	h.pausedUntil = c.now.Add(30 * time.Second)
	c.setListed(h, false)
	c.run(c.between(22000, 26000))
	c.setListed(h, true)
	c.run(25 * time.Second)
	return c
}

func TestDroppedHostDoesNotResumeUse(t *testing.T) {
	const seeds = 50
	detected := 0
	for seed := range uint64(seeds) {
		if c := simulateDrop(seed, flaws{}); c.violation != "" {
			t.Errorf("seed %d: %s", seed, c.violation)
		}
		if c := simulateDrop(seed, flaws{resumePaused: true}); c.violation != "" {
			detected++
		}
	}
	t.Logf("without the mechanism: violation detected in %d of %d runs", detected, seeds)
	if detected == 0 {
		t.Error("without the mechanism: no violation detected in any run")
	}
}
