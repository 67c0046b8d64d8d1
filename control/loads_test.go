package control_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/control"
	"github.com/fireflygate/fireflygate/workload"
)

// TestLoadsSpread guards against an owner whose loads don't reach the other hosts.
func TestLoadsSpread(t *testing.T) {
	c := newCluster(t, 2, 1)
	other := testQueue
	other.Name, other.Priority = "other", testQueue.Priority+1
	for _, h := range c.hosts {
		h.node.SetConfig(control.Config{Version: 2, Queues: []workload.Queue{testQueue, other}})
	}
	h := without(c.hosts, c.leader(c.hosts...))[0]
	c.eventually("the host knows the loads of both queues", func() bool { return h.node.KnownLoads() == 2 })
}
