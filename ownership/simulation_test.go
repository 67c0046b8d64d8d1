package ownership

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/settings"
)

// injectFault injects one random fault of limited duration.
func (c *simCluster) injectFault() {
	h := c.hosts[c.rand.IntN(len(c.hosts))]
	o := c.hosts[c.rand.IntN(len(c.hosts))]
	pair := [2]string{min(h.name, o.name), max(h.name, o.name)}
	switch c.rand.IntN(13) {
	case 0:
		h.pausedUntil = c.now.Add(c.between(100, 15000))
	case 1:
		h.tablePartitioned = true
		c.after(c.between(500, 20000), func() { h.tablePartitioned = false })
	case 2:
		c.partitions[pair] = true
		c.after(c.between(500, 20000), func() { delete(c.partitions, pair) })
	case 3:
		c.tableDown = true
		c.after(c.between(500, 15000), func() { c.tableDown = false })
	case 4:
		h.alive = false
		c.after(c.between(0, 8000), h.restart)
	case 5:
		h.alive = false
		c.after(c.between(500, 6000), func() {
			if h.alive {
				return
			}
			c.setListed(h, false)
			c.after(c.between(500, 15000), h.restart)
		})
	case 6:
		h.runLater(0, func() { h.execute(h.machine.HandOver(h.clock())) })
		c.after(c.between(6000, 12000), func() {
			h.alive = false
			c.after(c.between(0, 3000), h.restart)
		})
	case 7:
		c.lossPercent = 30
		c.after(c.between(500, 10000), func() { c.lossPercent = 3 })
	case 8: // partition from the table first, then from the peers
		end := c.between(10000, 25000)
		h.partitionFromTable(end)
		c.after(c.between(1000, 6000), func() { h.partitionFromPeers(end) })
	case 9: // reads fail, writes succeed
		c.readsDown = true
		c.after(c.between(5000, 20000), func() { c.readsDown = false })
	case 10: // the partition ends for writes before it ends for reads
		outage := c.between(4000, 9000)
		h.partitionFromTable(outage)
		h.readsFail = true
		c.after(outage+c.between(4000, 12000), func() { h.readsFail = false })
	case 11: // most answers to writes are lost, then a full partition
		h.ackLossPercent = 70
		c.after(c.between(2000, 6000), func() {
			h.ackLossPercent = 0
			end := c.between(8000, 20000)
			h.partitionFromTable(end)
			h.partitionFromPeers(end)
		})
	case 12: // the list drops a running host that is partitioned from the table
		end := c.between(8000, 25000)
		h.partitionFromTable(end)
		c.after(c.between(0, 6000), func() {
			if !h.alive {
				return
			}
			c.setListed(h, false)
			c.after(c.between(1000, 15000), func() { c.setListed(h, true) })
		})
	}
}

// partitionFromTable partitions a host from the table for a duration.
func (h *simHost) partitionFromTable(d time.Duration) {
	h.tablePartitioned = true
	h.c.after(d, func() { h.tablePartitioned = false })
}

// partitionFromPeers partitions a host from all other hosts for a duration.
func (h *simHost) partitionFromPeers(d time.Duration) {
	for _, o := range h.c.hosts {
		pair := [2]string{min(h.name, o.name), max(h.name, o.name)}
		h.c.partitions[pair] = true
		h.c.after(d, func() { delete(h.c.partitions, pair) })
	}
}

// restart starts a new process of a host whose process has ended, and lists the
// host.
func (h *simHost) restart() {
	if h.alive {
		return
	}
	h.c.setListed(h, true)
	h.newestList = h.c.list
	h.start()
}

// simulate runs one seed: a phase without faults, one with faults and another
// one without, after which every shard must have exactly one full owner.
func simulate(seed uint64, f flaws, unfenced bool) *simCluster {
	c := newSimCluster(seed, 3+int(seed%3), 2, f)
	if seed%5 == 4 {
		c.mixSettings()
	}
	c.unfenced = unfenced
	c.lossPercent = 3
	c.maxLengthRequests = seed%2 == 0
	c.run(10 * time.Second)
	for range 25 {
		c.injectFault()
		c.run(c.between(100, 6000))
	}
	c.lossPercent = 0
	c.run(60 * time.Second)
	c.checkSettled(5 * time.Second)
	return c
}

// mixSettings gives every second host shorter durations, effective from its
// next process, as in a rolling change of settings.
func (c *simCluster) mixSettings() {
	for i, h := range c.hosts {
		if i%2 == 1 {
			h.lease.Session = settings.Duration(2 * time.Second)
			h.lease.Renew = settings.Duration(500 * time.Millisecond)
			h.maxRun = 2 * time.Second
		}
	}
}

// checkSettled checks that each shard has exactly one full owner at some time
// during a duration without faults. It has none while it moves to its preferred
// host.
func (c *simCluster) checkSettled(duration time.Duration) {
	const step = 250 * time.Millisecond
	owned := map[string]bool{}
	for range int(duration / step) {
		c.run(step)
		for _, shard := range c.shards() {
			owned[shard] = owned[shard] || c.fullOwners(shard) == 1
		}
	}
	for _, shard := range c.shards() {
		if !owned[shard] && c.violation == "" {
			c.stuck = shard + " has no single full owner after the faults have ended"
		}
	}
}

// simulateAll runs the seeds 0 to n-1, several concurrently.
func simulateAll(n uint64, f flaws, unfenced bool) []*simCluster {
	const concurrency = 4
	clusters := make([]*simCluster, n)
	var wg sync.WaitGroup
	for part := range uint64(concurrency) {
		wg.Go(func() {
			for seed := part; seed < n; seed += concurrency {
				c := simulate(seed, f, unfenced)
				if c.violation != "" || c.stuck != "" {
					c.violation = fmt.Sprintf("seed %d: %s", seed, c.violation+c.stuck)
				}
				c.queue, c.hosts = nil, nil
				clusters[seed] = c
			}
		})
	}
	wg.Wait()
	return clusters
}

// TestSimulationIsDeterministic checks that two runs of one seed give the same
// result.
func TestSimulationIsDeterministic(t *testing.T) {
	a, b := simulate(7, flaws{}, false), simulate(7, flaws{}, false)
	if a.dispatches != b.dispatches || a.writes != b.writes || a.table.version != b.table.version {
		t.Errorf("first run: %d dispatches, %d writes, table version %d; second run: %d, %d, %d; want the same", a.dispatches, a.writes, a.table.version, b.dispatches, b.writes, b.table.version)
	}
}
