package control_test

import (
	"fmt"
	"testing"

	"github.com/fireflygate/fireflygate/workload"
)

// TestOwnerCutOffFromWorkers guards against an owner whose link to its workers is cut,
// and that lets all runs lapse although other hosts reach the workers: it must learn of
// ends, and start tasks, through them.
func TestOwnerCutOffFromWorkers(t *testing.T) {
	c := newCluster(t, 0, 2)
	c.cores = 1
	for i := range 3 {
		c.start(fmt.Sprintf("h%d", i), c.table)
	}
	owner := c.leader(c.hosts...)
	c.submit(owner, job("before", 2))
	first, second := (<-c.fleet.started).Task, (<-c.fleet.started).Task
	c.clients[owner.name].cut.Store(true)
	c.fleet.finish(first)
	c.fleet.finish(second)
	c.awaitState(owner, "before", workload.Complete)
	c.submit(owner, job("after", 1))
	c.fleet.finish((<-c.fleet.started).Task)
	c.awaitState(owner, "after", workload.Complete)
	if !owner.node.Owns() {
		t.Error("the owner lost the domain, so the test shows nothing")
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if len(c.fleet.duplicates) > 0 {
		t.Errorf("started while running: %v", c.fleet.duplicates)
	}
}
