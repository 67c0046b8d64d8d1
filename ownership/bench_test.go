package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/roster"
)

// capacity returns the usable share of the endpoint shards' capacity, averaged
// over a duration.
func (c *simCluster) capacity(duration time.Duration) float64 {
	const step = 250 * time.Millisecond
	var sum, samples float64
	for range int(duration / step) {
		c.run(step)
		for _, shard := range c.shards() {
			if !roster.IsEndpointShard(shard) {
				continue
			}
			used := None.Of(simSlots)
			for _, h := range c.hosts {
				if g, ok := h.machine.Snapshot().Grants[shard]; ok && h.alive {
					used += g.At(h.clock()).Of(simSlots)
				}
			}
			sum += float64(used) / simSlots
			samples++
		}
	}
	return sum / samples
}

// BenchmarkOutageCapacity measures the usable capacity during a two-minute
// outage of the table, with all entry hosts alive, with and without promises.
func BenchmarkOutageCapacity(b *testing.B) {
	for name, f := range map[string]flaws{"promises": {}, "none": {neverPromise: true}} {
		b.Run(name, func(b *testing.B) {
			var sum float64
			for i := range b.N {
				c := newSimCluster(uint64(i), 6, 8, f)
				c.noTraffic = true
				c.run(30 * time.Second)
				c.tableDown = true
				sum += c.capacity(2 * time.Minute)
			}
			b.ReportMetric(sum/float64(b.N), "capacity")
		})
	}
}

// BenchmarkStoreRequests counts the requests to the table in a minute without
// faults.
func BenchmarkStoreRequests(b *testing.B) {
	sizes := []struct{ hosts, shards int }{{3, 16}, {9, 64}, {40, 300}, {100, 600}}
	for _, size := range sizes {
		b.Run(nameOf(size.hosts, size.shards), func(b *testing.B) {
			for i := range b.N {
				c := newSimCluster(uint64(i), size.hosts, size.shards/2, flaws{})
				c.noTraffic = true
				c.run(time.Minute)
				c.reads, c.writes, c.readBytes, c.notifyBytes = 0, 0, 0, 0
				c.run(time.Minute)
				b.ReportMetric(float64(c.reads)/60, "reads/s")
				b.ReportMetric(float64(c.writes)/60, "writes/s")
				b.ReportMetric(float64(c.readBytes)/60/float64(size.hosts), "B/s-read/host")
				b.ReportMetric(float64(c.notifyBytes)/60/float64(size.hosts), "B/s-told/host")
			}
		})
	}
}

// sizeOf returns the total size of the rows' keys and values, in bytes.
func sizeOf(rows []infra.Row) int {
	n := 0
	for _, row := range rows {
		n += len(row.Key) + len(row.Value)
	}
	return n
}

// takeOver kills a host and returns the time until all its shards have another
// owner.
func (c *simCluster) takeOver(h *simHost) time.Duration {
	const step, maxWait = 50 * time.Millisecond, 2 * time.Minute
	h.alive = false
	killedAt := c.now
	for c.now.Sub(killedAt) < maxWait && c.owns(h.name) {
		c.run(step)
	}
	return c.now.Sub(killedAt)
}

// owns reports whether any shard's row names the host as owner.
func (c *simCluster) owns(host string) bool {
	for _, row := range c.table.scan(ShardPrefix) {
		if value, err := DecodeShardRow(row.Value); err == nil && value.Owner.Host == host {
			return true
		}
	}
	return false
}

// BenchmarkTakeOver measures the time from a crash to the last change of owner.
func BenchmarkTakeOver(b *testing.B) {
	var sum, worst time.Duration
	for i := range b.N {
		c := newSimCluster(uint64(i), 9, 32, flaws{})
		c.noTraffic = true
		c.run(time.Minute + c.between(0, 3000))
		took := c.takeOver(c.hosts[i%len(c.hosts)])
		sum += took
		worst = max(worst, took)
	}
	b.ReportMetric(sum.Seconds()/float64(b.N), "s-mean")
	b.ReportMetric(worst.Seconds(), "s-worst")
}

func nameOf(hosts, shards int) string {
	return fmt.Sprintf("%dhosts-%dshards", hosts, shards)
}
