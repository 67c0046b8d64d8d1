package dispatch

import (
	"github.com/fireflygate/fireflygate/headroom"
	"github.com/fireflygate/fireflygate/mechanism"
)

// room is what a cycle knows of the room of a pool.
type room struct {
	// free is what lies free on workers where a short task of usual size
	// fits; smaller pieces are of no use to short work.
	free int64
	// short is what short work uses, keep what must stay free for it.
	short, keep int64
}

// usualShare is the share of a worker that a piece of free room must have to
// count: the size of a usual short task.
const usualShare = 0.1

// rooms works out the room of each pool, given the steps that wait.
func (c *cycle) rooms(waiting []*waiting) {
	c.pools = map[string]*room{}
	pool := func(name string) *room {
		if c.pools[name] == nil {
			c.pools[name] = &room{}
		}
		return c.pools[name]
	}
	for _, w := range c.workers {
		p := pool(w.info.Pool)
		if float64(w.free.MilliCPU) >= usualShare*float64(w.info.Capacity.MilliCPU) {
			p.free += w.free.MilliCPU
		}
		p.short += w.tally.short
	}
	want := map[string]int64{}
	for _, wt := range waiting {
		if spec := wt.step.spec; !spec.LongRunning && !spec.BestEffort {
			want[wt.step.job.queue.Pool] += spec.Needs.MilliCPU * int64(wt.step.idle)
		}
	}
	for name, p := range c.pools {
		t := c.s.headroom[name]
		if t == nil {
			t = &headroom.Tracker{}
			c.s.headroom[name] = t
		}
		t.Observe(c.now, p.short, want[name])
		p.keep = t.Headroom(p.short)
	}
}

// mayBegin reports whether a long-running task that has never run may start:
// enough must be left for short work.
func (c *cycle) mayBegin(t *task) bool {
	if !t.step.spec.LongRunning || t.began || c.s.cfg.Disabled.Has(mechanism.Headroom) {
		return true
	}
	p := c.pools[t.step.job.queue.Pool]
	return p != nil && p.free-t.step.spec.Needs.MilliCPU >= p.keep
}
