package control_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/workload"
)

// TestWeakOwnerHandsOver checks that the domain moves to a stronger host that
// joins, without restarting running tasks.
func TestWeakOwnerHandsOver(t *testing.T) {
	c := newCluster(t, 0, 1)
	c.cores = 0.2
	weak := c.start("weak", c.table)
	c.submit(weak, job("job", 1))
	task := (<-c.fleet.started).Task
	c.cores = 0.8
	strong := c.start("strong", c.table)
	c.leader(strong)
	c.fleet.finish(task)
	c.awaitState(weak, "job", workload.Complete)
	c.awaitState(strong, "job", workload.Complete)
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if len(c.fleet.duplicates) > 0 || len(c.fleet.started) > 0 {
		t.Errorf("started while running: %v; %d tasks started again", c.fleet.duplicates, len(c.fleet.started))
	}
}
