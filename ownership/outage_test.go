package ownership

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/roster"
	"github.com/fireflygate/fireflygate/settings"
)

// TestTaskLeasesRenewedInOutage checks that promises keep task leases renewed
// during an outage of the table that is much longer than a session and a task
// lease.
func TestTaskLeasesRenewedInOutage(t *testing.T) {
	maxGap := func(f flaws) time.Duration {
		c := newSimCluster(1, 6, 4, f)
		c.run(30 * time.Second)
		c.tableDown = true
		c.run(10 * time.Minute)
		c.tableDown = false
		c.run(30 * time.Second)
		var worst time.Duration
		for shard, s := range c.actualShards {
			if c.violation != "" {
				t.Error(c.violation)
			}
			if !roster.IsEndpointShard(shard) {
				worst = max(worst, s.maxGap)
			}
		}
		return worst
	}
	lease := settings.Default().Lease
	with, without := maxGap(flaws{}), maxGap(flaws{neverPromise: true})
	t.Logf("longest time between renewals: %v with promises, %v without", with, without)
	if with > lease.TaskLease.D()/2 {
		t.Error("with promises: task leases were not renewed for more than half of their length")
	}
	if without < lease.TaskLease.D() {
		t.Error("without promises: task leases were still renewed in time, so that the test has no effect")
	}
}
