package control_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/workload"
)

// TestWeakOwnerHandsOver has a strong host join a weak owner: the domain moves
// there, and what runs goes on.
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
	c.await(weak, "job", workload.Complete)
	c.await(strong, "job", workload.Complete)
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if len(c.fleet.twice) > 0 || len(c.fleet.started) > 0 {
		t.Errorf("started while at work: %v; started again: %d", c.fleet.twice, len(c.fleet.started))
	}
}
