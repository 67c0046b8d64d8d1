package control_test

import (
	"fmt"
	"testing"

	"github.com/fireflygate/fireflygate/workload"
)

// newRelayCluster starts hosts with four workers, and waits until the owner looks
// at them through another host.
func newRelayCluster(t *testing.T, n int) (*cluster, *host) {
	t.Helper()
	c := newCluster(t, 0, 4)
	c.cores = 1
	for i := range n {
		c.start(fmt.Sprintf("h%d", i), c.table)
	}
	owner := c.leader(c.hosts...)
	c.eventually("another host looks at workers", func() bool {
		owner.node.HaveRelays(1)
		return c.looksOfOthers(owner) > 0
	})
	return c, owner
}

// looksOfOthers counts the looks that hosts but one gave.
func (c *cluster) looksOfOthers(but *host) int64 {
	n := int64(0)
	for name, client := range c.carried {
		if name != but.name {
			n += client.looks.Load()
		}
	}
	return n
}

// TestRelayCarriesOrders has the owner's orders go through another host: jobs of
// several steps, so that a payload is sent once and known from then on, end as
// they do otherwise, and the owner gives no start itself.
func TestRelayCarriesOrders(t *testing.T) {
	c, owner := newRelayCluster(t, 3)
	own := c.carried[owner.name].starts.Load()
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
		c.await(c.hosts[0], id, workload.Complete)
	}
	if n := c.carried[owner.name].starts.Load() - own; n > 0 {
		t.Errorf("the owner gave %d starts itself", n)
	}
}

// TestRelayDies kills the host that carries the orders while tasks run and
// others start. All jobs end, and no task runs in two places.
func TestRelayDies(t *testing.T) {
	c, owner := newRelayCluster(t, 4)
	c.submit(owner, job("before", 8))
	var tasks []workload.TaskID
	for range 8 {
		tasks = append(tasks, (<-c.fleet.started).Task)
	}
	for _, h := range without(c.hosts, owner) {
		if c.carried[h.name].starts.Load() > 0 {
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
	c.await(owner, "before", workload.Complete)
	c.await(owner, "after", workload.Complete)
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if len(c.fleet.twice) > 0 {
		t.Errorf("started while they ran: %v", c.fleet.twice)
	}
}

// TestRelayIsToldAgain has the host that carries the orders be replaced by a
// process that knows no payloads: the owner, which took it to know the job's,
// sends it again.
func TestRelayIsToldAgain(t *testing.T) {
	c, owner := newRelayCluster(t, 2)
	j := job("job", 3)
	j.Payload = "payload"
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	c.submit(owner, j)
	for range 3 {
		c.fleet.finish((<-c.fleet.started).Task)
		for _, h := range c.hosts {
			h.node.ForgetPayloads()
		}
	}
	for range 3 {
		o := <-c.fleet.started
		if o.Payload != j.Payload {
			t.Errorf("%v started with payload %q, want %q", o.Task, o.Payload, j.Payload)
		}
		c.fleet.finish(o.Task)
	}
	c.await(owner, "job", workload.Complete)
}
