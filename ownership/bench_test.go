package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
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
				w.reads, w.writes, w.readBytes, w.told = 0, 0, 0, 0
				w.run(time.Minute)
				b.ReportMetric(float64(w.reads)/60, "reads/s")
				b.ReportMetric(float64(w.writes)/60, "writes/s")
				b.ReportMetric(float64(w.readBytes)/60/float64(size.hosts), "B/s-read/host")
				b.ReportMetric(float64(w.told)/60/float64(size.hosts), "B/s-told/host")
			}
		})
	}
}

// sizeOf is the size of rows, keys and values.
func sizeOf(rows []infra.Row) int {
	n := 0
	for _, row := range rows {
		n += len(row.Key) + len(row.Value)
	}
	return n
}

// takeOver kills a host and returns how long it takes until each of its shards
// has another owner.
func (w *world) takeOver(h *simHost) time.Duration {
	const step, longest = 50 * time.Millisecond, 2 * time.Minute
	h.alive = false
	died := w.now
	for w.now.Sub(died) < longest && w.owns(h.name) {
		w.run(step)
	}
	return w.now.Sub(died)
}

// owns reports whether a shard's row names a host as the owner.
func (w *world) owns(host string) bool {
	for _, row := range w.table.scan(ShardPrefix) {
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
		w := newWorld(uint64(i), 9, 32, flaws{})
		w.idle = true
		w.run(time.Minute + w.between(0, 3000))
		took := w.takeOver(w.hosts[i%len(w.hosts)])
		sum += took
		worst = max(worst, took)
	}
	b.ReportMetric(sum.Seconds()/float64(b.N), "s-mean")
	b.ReportMetric(worst.Seconds(), "s-worst")
}

func nameOf(hosts, shards int) string {
	return fmt.Sprintf("%dhosts-%dshards", hosts, shards)
}
