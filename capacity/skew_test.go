package capacity

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fireflygate/fireflygate/roster"
	"github.com/fireflygate/fireflygate/settings"
)

// BenchmarkSkew reports how unevenly the workers of a site of the design size are
// distributed among 40 entry hosts if each shard is owned by its preferred owner,
// by the number of worker shards per zone.
func BenchmarkSkew(b *testing.B) {
	for _, shards := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprint(shards, "shards"), func(b *testing.B) {
			lease := settings.Default().Lease
			lease.WorkerShardsPerZone = shards
			list := site{40, 4300, 4300}.list(1)
			workers, cross := map[string]int{}, 0
			for b.Loop() {
				clear(workers)
				cross = 0
				r := roster.Build(roster.Roster{}, list, lease)
				for _, shard := range r.Shards() {
					if roster.IsEndpointShard(shard) {
						continue
					}
					owner, _ := r.Member(r.PreferredOwners(shard)[0])
					workers[owner.Name] += len(r.Members(shard))
					if !strings.Contains(shard, owner.Zone+"/") {
						cross += len(r.Members(shard))
					}
				}
			}
			most := 0
			for _, n := range workers {
				most = max(most, n)
			}
			b.ReportMetric(float64(most), "workers-most")
			b.ReportMetric(float64(len(workers)), "hosts-used")
			b.ReportMetric(float64(cross), "workers-owned-elsewhere")
		})
	}
}
