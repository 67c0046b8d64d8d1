package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/roster"
)

// capacity samples the share of the endpoint shards' capacity that may be used,
// averaged over a time.
func (w *world) capacity(over time.Duration) float64 {
	const step = 250 * time.Millisecond
	var sum, samples float64
	for range int(over / step) {
		w.run(step)
		for _, shard := range w.shards() {
			if !roster.IsEndpointShard(shard) {
				continue
			}
			used := None.Of(simSlots)
			for _, h := range w.hosts {
				if g, ok := h.machine.View().Grants[shard]; ok && h.alive {
					used += g.At(h.clock()).Of(simSlots)
				}
			}
			sum += float64(used) / simSlots
			samples++
		}
	}
	return sum / samples
}

// BenchmarkOutageCapacity measures the capacity kept in a two-minute outage of
// the table while every entry host lives, with and without promises.
func BenchmarkOutageCapacity(b *testing.B) {
	for name, f := range map[string]flaws{"promises": {}, "none": {neverPromise: true}} {
		b.Run(name, func(b *testing.B) {
			var sum float64
			for i := range b.N {
				w := newWorld(uint64(i), 6, 8, f)
				w.idle = true
				w.run(30 * time.Second)
				w.storeDown = true
				sum += w.capacity(2 * time.Minute)
			}
			b.ReportMetric(sum/float64(b.N), "capacity")
		})
	}
}

// BenchmarkStoreRequests counts the requests to the table in a calm minute.
func BenchmarkStoreRequests(b *testing.B) {
	sizes := []struct{ hosts, shards int }{{3, 16}, {9, 64}, {40, 300}, {100, 600}}
	for _, size := range sizes {
		b.Run(nameOf(size.hosts, size.shards), func(b *testing.B) {
			for i := range b.N {
				w := newWorld(uint64(i), size.hosts, size.shards/2, flaws{})
				w.idle = true
				w.run(time.Minute)
				w.reads, w.writes = 0, 0
				w.run(time.Minute)
				b.ReportMetric(float64(w.reads)/60, "reads/s")
				b.ReportMetric(float64(w.writes)/60, "writes/s")
				b.ReportMetric(float64(rowBytes(w))/float64(size.hosts), "B/s-read/host")
			}
		})
	}
}

// rowBytes is the size of all rows that a host reads in each renewal interval.
func rowBytes(w *world) int {
	n := 0
	for _, row := range append(w.table.scan(SessionPrefix), w.table.scan(ShardPrefix)...) {
		n += len(row.Key) + len(row.Value)
	}
	return n * len(w.hosts)
}

func nameOf(hosts, shards int) string {
	return fmt.Sprintf("%dhosts-%dshards", hosts, shards)
}
