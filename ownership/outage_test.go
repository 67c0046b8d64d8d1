package ownership

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/roster"
	"github.com/fireflygate/fireflygate/settings"
)

// TestTasksGoOnInOutage renews the task leases throughout an outage much longer
// than a session and a task lease.
func TestTasksGoOnInOutage(t *testing.T) {
	gap := func(f flaws) time.Duration {
		w := newWorld(1, 6, 4, f)
		w.run(30 * time.Second)
		w.storeDown = true
		w.run(10 * time.Minute)
		w.storeDown = false
		w.run(30 * time.Second)
		var worst time.Duration
		for shard, s := range w.endpoints {
			if w.wrong != "" {
				t.Error(w.wrong)
			}
			if !roster.IsEndpointShard(shard) {
				worst = max(worst, s.gap)
			}
		}
		return worst
	}
	lease := settings.Default().Lease
	with, without := gap(flaws{}), gap(flaws{neverPromise: true})
	t.Logf("the longest time without a renewal is %v with promises, %v without", with, without)
	if with > lease.TaskLease.D()/2 {
		t.Error("tasks are stopped")
	}
	if without < lease.TaskLease.D() {
		t.Error("tasks go on without promises: the check proves nothing")
	}
}
