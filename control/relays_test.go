package control_test

import (
	"fmt"
	"testing"

	"github.com/fireflygate/fireflygate/workload"
)

// newRelayCluster starts n hosts with four workers, and waits until the owner
// polls workers through another host.
func newRelayCluster(t *testing.T, n int) (*cluster, *host) {
	t.Helper()
	c := newCluster(t, 0, 4)
	c.cores = 1
	for i := range n {
		c.start(fmt.Sprintf("h%d", i), c.table)
	}
	owner := c.leader(c.hosts...)
	c.eventually("a host other than the owner polls workers", func() bool {
		owner.node.SetMinRelays(1)
		return c.pollsByOthers(owner) > 0
	})
	return c, owner
}

// pollsByOthers counts the polls sent by all hosts except one.
func (c *cluster) pollsByOthers(except *host) int64 {
	n := int64(0)
	for name, client := range c.clients {
		if name != except.name {
			n += client.polls.Load()
		}
	}
	return n
}

// TestOrdersGoThroughRelay checks that jobs complete with the owner's orders
// sent through another host, and that each task gets its payload although the
// owner sends a job's payload to a relay only with the first start.
func TestOrdersGoThroughRelay(t *testing.T) {
	c, owner := newRelayCluster(t, 3)
	startsBefore := c.clients[owner.name].starts.Load()
	for i := range 4 {
		id := fmt.Sprintf("job%d", i)
		j := job(id, 6)
		j.Payload = "payload of " + id
		c.submit(c.hosts[i%3], j)
		for range 6 {
			o := <-c.fleet.started
			if o.Payload != j.Payload {
				t.Errorf("%v started with payload %q, want %q", o.Task, o.Payload, j.Payload)
			}
			c.fleet.finish(o.Task)
		}
		c.awaitState(c.hosts[0], id, workload.Complete)
	}
	if n := c.clients[owner.name].starts.Load() - startsBefore; n > 0 {
		t.Errorf("the owner sent %d starts itself, want 0", n)
	}
}

// TestRelayCrash checks that jobs complete without duplicate runs after the
// host that relays orders has failed.
func TestRelayCrash(t *testing.T) {
	c, owner := newRelayCluster(t, 4)
	c.submit(owner, job("before", 8))
	var tasks []workload.TaskID
	for range 8 {
		tasks = append(tasks, (<-c.fleet.started).Task)
	}
	for _, h := range without(c.hosts, owner) {
		if c.clients[h.name].starts.Load() > 0 {
			h.kill()
		}
	}
	c.submit(owner, job("after", 4))
	for range 4 {
		tasks = append(tasks, (<-c.fleet.started).Task)
	}
	for _, id := range tasks {
		c.fleet.finish(id)
	}
	c.awaitState(owner, "before", workload.Complete)
	c.awaitState(owner, "after", workload.Complete)
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if len(c.fleet.duplicates) > 0 {
		t.Errorf("started while running: %v", c.fleet.duplicates)
	}
}

// TestPayloadResentToRestartedRelay checks that the owner sends a payload again
// to a relay that has lost it.
func TestPayloadResentToRestartedRelay(t *testing.T) {
	c, owner := newRelayCluster(t, 2)
	j := job("job", 3)
	j.Payload = "payload"
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	c.submit(owner, j)
	for range 3 {
		c.fleet.finish((<-c.fleet.started).Task)
		for _, h := range c.hosts {
			h.node.ClearPayloads()
		}
	}
	for range 3 {
		o := <-c.fleet.started
		if o.Payload != j.Payload {
			t.Errorf("%v started with payload %q, want %q", o.Task, o.Payload, j.Payload)
		}
		c.fleet.finish(o.Task)
	}
	c.awaitState(owner, "job", workload.Complete)
}
