package control_test

import (
	"context"
	"testing"

	"github.com/fireflygate/fireflygate/control"
	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/workload"
)

// TestOwnerBoundsStateOfJobs guards against jobs of legal size, each of them accepted, that
// fill the owner's memory.
func TestOwnerBoundsStateOfJobs(t *testing.T) {
	c := newCluster(t, 0, 1)
	large := job("large", workload.MaxTasks)
	c.stateBytes = 2 * dispatch.JobBytes(large)
	c.start("h0", c.table)
	owner := c.leader(c.hosts...)
	c.submit(owner, large)
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	defer cancel()
	again := *large
	again.ID = "again"
	if out := owner.node.Submit(ctx, &again, testQueue); out.Result != control.ResultRefused || out.RetryAfter <= 0 {
		t.Errorf("outcome %+v of a job without room, want a refusal with a retry time", out)
	}
	c.submit(owner, large) // it is known, and needs nothing more
	c.submit(owner, job("small", 1))
}
