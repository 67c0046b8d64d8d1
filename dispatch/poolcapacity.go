package dispatch

import (
	"github.com/fireflygate/fireflygate/headroom"
	"github.com/fireflygate/fireflygate/mechanism"
)

// poolCapacity is the capacity of a pool in one cycle, in thousandths of a
// core.
type poolCapacity struct {
	// free is the capacity free on workers where a short task of usual size
	// fits.
	free int64
	// shortUse is what short tasks use, shortReserve what must stay free for
	// them.
	shortUse, shortReserve int64
}

// minUsefulShare is the share of a worker that must be free to count; the size
// of a usual short task.
const minUsefulShare = 0.1

// computeCapacity computes the capacity of each pool. It passes the use and the
// demand of short tasks, including those of the waiting steps, to the pool's
// headroom tracker.
func (c *cycle) computeCapacity(waiting []*waitingStep) {
	c.pools = map[string]*poolCapacity{}
	pool := func(name string) *poolCapacity {
		if c.pools[name] == nil {
			c.pools[name] = &poolCapacity{}
		}
		return c.pools[name]
	}
	var p *poolCapacity
	name := ""
	for _, w := range c.workers {
		if p == nil || w.info.Pool != name { // workers of a pool often follow each other
			name, p = w.info.Pool, pool(w.info.Pool)
		}
		if float64(w.free.MilliCPU) >= minUsefulShare*float64(w.info.Capacity.MilliCPU) {
			p.free += w.free.MilliCPU
		}
		p.shortUse += w.counts.shortMilliCPU
	}
	demand := map[string]int64{}
	for _, wt := range waiting {
		if spec := wt.step.spec; !spec.LongRunning && !spec.BestEffort {
			demand[wt.step.job.queue.Pool] += spec.Needs.MilliCPU * int64(wt.step.idle)
		}
	}
	for name, p := range c.pools {
		t := c.s.headroom[name]
		if t == nil {
			t = &headroom.Tracker{}
			c.s.headroom[name] = t
		}
		t.Observe(c.now, p.shortUse, demand[name])
		p.shortReserve = t.Headroom(p.shortUse)
	}
}

// headroomAllows reports whether a task may start without taking the headroom,
// the capacity that must stay free for short tasks. It only holds back
// long-running tasks that have never run.
func (c *cycle) headroomAllows(t *task) bool {
	if !t.step.spec.LongRunning || t.started || c.s.cfg.Disabled.Has(mechanism.Headroom) {
		return true
	}
	p := c.pools[t.step.job.queue.Pool]
	return p != nil && p.free-t.step.spec.Needs.MilliCPU >= p.shortReserve
}
