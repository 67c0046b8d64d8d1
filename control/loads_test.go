package control_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/control"
	"github.com/fireflygate/fireflygate/workload"
)

// TestLoadsSpread guards against an owner whose loads of a full pool don't reach the other
// hosts.
func TestLoadsSpread(t *testing.T) {
	c := newCluster(t, 2, 1)
	other := testQueue
	other.Name, other.Priority = "other", testQueue.Priority+1
	for _, h := range c.hosts {
		h.node.SetConfig(control.Config{Version: 2, Queues: []workload.Queue{testQueue, other}})
	}
	h := without(c.hosts, c.leader(c.hosts...))[0]
	c.submit(h, job("job", 8000)) // far more than one worker can run at once
	c.eventually("the host knows the loads of both queues", func() bool {
		select {
		case o := <-c.fleet.started:
			c.fleet.finish(o.Task)
		default:
		}
		return h.node.KnownLoads() == 2
	})
}
