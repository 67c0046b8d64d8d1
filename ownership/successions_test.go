//go:build !race

package ownership

import (
	"sync"
	"testing"
	"time"
)

// successionSeeds is the number of seeds of TestSuccessionsWithinOneLease.
const successionSeeds = 300

// simulateSuccessions gives one shard several owners in quick succession: each
// owner, or the host whose claim is on its way, is cut off, frozen, killed or
// stopped, and writes of shards' rows are often slow.
func simulateSuccessions(seed uint64, f flaws) *simCluster {
	c := newSimCluster(seed, 4+int(seed%3), 2, f)
	c.lossPercent = 3
	c.maxLengthRequests = seed%2 == 0
	c.run(12 * time.Second)
	for range 5 {
		c.setSlowShardWrites(50)
		shard := c.shards()[c.rand.IntN(len(c.shards()))]
		for range 2 + c.rand.IntN(3) {
			if h := c.nextHolder(shard); h != nil {
				c.disturb(h)
			}
			c.run(c.between(0, 3000))
		}
		c.setSlowShardWrites(0)
		c.run(c.between(1000, 20000))
	}
	c.lossPercent = 0
	c.run(60 * time.Second)
	c.checkSettled(5 * time.Second)
	return c
}

// setSlowShardWrites sets the probability of slow writes of shards' rows.
func (c *simCluster) setSlowShardWrites(percent int) {
	for _, h := range c.hosts {
		h.slowShardWritePercent = percent
	}
}

// nextHolder advances the time, by one minute at the most, until a process that
// is undisturbed owns the shard or has sent a claim of it. It returns nil if
// there was none.
func (c *simCluster) nextHolder(shard string) *simHost {
	const step = 20 * time.Millisecond
	for range time.Minute / step {
		c.run(step)
		for _, h := range c.hosts {
			if !h.alive || h.tablePartitioned || c.now.Before(h.pausedUntil) {
				continue
			}
			s := h.machine.shards[shard]
			if s != nil && (s.claim != nil || h.machine.owns(s)) {
				return h
			}
		}
	}
	return nil
}

// disturb cuts a host off from the table or from all, freezes it, kills it, or
// stops it as planned.
func (c *simCluster) disturb(h *simHost) {
	cut := c.between(4000, 20000)
	switch c.rand.IntN(8) {
	case 0:
		h.partitionFromTable(cut)
	case 1:
		h.partitionFromTable(cut)
		h.partitionFromPeers(cut)
	case 6, 7:
		h.partitionFromTable(cut)
		c.partitionFromSome(h)
	case 2:
		h.pausedUntil = c.now.Add(c.between(500, 12000))
	case 3:
		h.alive = false
		c.after(c.between(0, 1000), h.restartMixed)
	case 4:
		h.alive = false
		c.after(c.between(500, 3000), func() {
			if !h.alive {
				c.setListed(h, false)
				c.after(c.between(0, 20000), h.restartMixed)
			}
		})
	case 5:
		h.runLater(0, func() { h.execute(h.machine.HandOver(h.clock())) })
		c.after(c.between(500, 8000), func() {
			h.alive = false
			c.after(c.between(0, 1000), h.restartMixed)
		})
	}
}

// restartMixed starts a new process of a host whose process has ended. In every
// second seed the new process has another maximum run time of requests.
func (h *simHost) restartMixed() {
	if h.alive {
		return
	}
	if h.c.maxLengthRequests {
		h.maxRun = h.c.between(2000, 25000)
	}
	h.restart()
}

// partitionFromSome partitions a host from about half of the other hosts.
func (c *simCluster) partitionFromSome(h *simHost) {
	for _, o := range c.hosts {
		if c.chance(50) {
			pair := [2]string{min(h.name, o.name), max(h.name, o.name)}
			c.partitions[pair] = true
			c.after(c.between(4000, 8000), func() { delete(c.partitions, pair) })
		}
	}
}

// TestSuccessionsWithinOneLease checks with many seeds that the bounds hold
// when a shard changes its owner several times within the time for which its
// earlier owners may still use it.
func TestSuccessionsWithinOneLease(t *testing.T) {
	const concurrency = 4
	var mu sync.Mutex
	var wg sync.WaitGroup
	var seizures, late int
	for part := range uint64(concurrency) {
		wg.Go(func() {
			for seed := part; seed < successionSeeds; seed += concurrency {
				c := simulateSuccessions(seed, flaws{})
				mu.Lock()
				seizures += c.seizures
				late += c.lateRenewals
				if found := c.violation + c.stuck; found != "" {
					t.Errorf("seed %d: %s", seed, found)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d runs, %d seizures, %d renewals of task leases under a succeeded owner", successionSeeds, seizures, late)
}
