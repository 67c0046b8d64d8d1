package dispatch

import (
	"github.com/fireflygate/fireflygate/mechanism"
)

// sharedQueueOf returns the queue of a step in a pool with shares, nil for other steps.
func (c *cycle) sharedQueueOf(st *step) *sharedQueue {
	if c.shares == nil {
		return nil
	}
	return st.job.shared
}

// computeShares computes, for pools in which a queue has a guaranteed share, what each queue
// uses and wants. A queue uses the processors that its tasks with a run request. Best-effort
// tasks count too, although they reserve none, as a share is a part of the pool's processors,
// reserved or not.
func (c *cycle) computeShares(waiting []*waitingStep) {
	if c.shares = c.s.sharedPools(); c.shares == nil {
		clear(c.s.claims)
		c.s.reclaims = nil
		return
	}
	for _, p := range c.shares {
		p.reset()
	}
	for _, w := range c.s.byID() {
		if p := c.shares[w.info.Pool]; p != nil {
			p.Capacity += w.countedCapacity(c)
		}
	}
	c.countUsage()
	for _, w := range waiting {
		if q := w.step.job.shared; q != nil {
			q.steps = append(q.steps, w)
			q.pool.steps = append(q.pool.steps, w)
			q.pool.Queues[q.index].Unmet += int64(w.step.idle-w.step.inheritedRuns(c.s)) * w.step.spec.Needs.MilliCPU
		}
	}
	c.pruneReclaims()
}

// sharedPools returns the pools in which a queue has a guaranteed share, nil if there are
// none.
func (s *State) sharedPools() map[string]*sharedPool {
	if s.shares != nil || !s.sharesChanged || s.cfg.Disabled.Has(mechanism.Shares) {
		return s.shares
	}
	s.sharesChanged = false
	s.sharesVersion++
	for _, q := range s.queues {
		if q.GuaranteedShare <= 0 {
			continue
		}
		if s.shares == nil {
			s.shares = map[string]*sharedPool{}
		}
		s.shares[q.Pool] = &sharedPool{}
	}
	for _, q := range s.queues {
		if p := s.shares[q.Pool]; p != nil {
			p.queue(q.Name, q.GuaranteedShare)
		}
	}
	return s.shares
}

// setShared sets the queue of a job in a pool with shares. A queue that was removed from
// the configuration has no share.
func (s *State) setShared(j *job) {
	if j.sharedVersion == s.sharesVersion {
		return
	}
	j.shared, j.sharedVersion = nil, s.sharesVersion
	if p := s.shares[j.queue.Pool]; p != nil {
		j.shared = p.queue(j.queue.Name, 0)
	}
}

// countedCapacity returns the part of the worker's processors that counts as the pool's
// capacity: all of them if it gets starts, otherwise what its runs reserve.
func (w *worker) countedCapacity(c *cycle) int64 {
	if w.index < len(c.workers) && c.workers[w.index] == w {
		return w.info.Capacity.MilliCPU
	}
	return w.info.Capacity.MilliCPU - w.free.MilliCPU
}

// countUsage adds up what the queues use. Runs that are being stopped for other queues
// don't count.
func (c *cycle) countUsage() {
	for _, j := range c.s.open {
		c.s.setShared(j)
		if j.shared == nil {
			continue
		}
		q := &j.shared.pool.Queues[j.shared.index]
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				used := int64(st.runCount()+st.inheritedRuns(c.s)) * st.spec.Needs.MilliCPU
				q.Used += used
				if !st.spec.LongRunning && !st.spec.Gang {
					q.Reclaimable += used
				}
			}
		}
	}
}

// runCount counts the step's runs.
func (s *step) runCount() int {
	if !s.spec.Speculative {
		return s.unfinishedTasks - s.idle
	}
	n := 0
	for i := range s.tasks {
		n += len(s.tasks[i].runs)
	}
	return n
}

// inheritedRuns counts the tasks without a known run that, according to the store, may
// run on a worker that hasn't reported to this owner yet.
func (s *step) inheritedRuns(state *State) int {
	if !s.job.inherited || len(state.awaitingReport) == 0 || s.idle == 0 {
		return 0
	}
	n := 0
	for i := range s.tasks {
		if t := &s.tasks[i]; !t.done && len(t.runs) == 0 && !t.inheritanceResolved && len(t.locations) > 0 {
			n++
		}
	}
	return n
}

// placeSteps places the waiting steps in queue order. In pools with shares, the steps of
// queues below their shares come first until the shares are reached. Each place of a pool's
// step in the list is used for the step that is next in that pool. It returns false if the
// limit of starts or of visits left steps untried.
func (c *cycle) placeSteps(list []*waitingStep) bool {
	for _, w := range list {
		if c.startLimitReached() {
			return false
		}
		c.withinVisits(w.step.job.queue.Pool, func() {
			if p := c.shares[w.step.job.queue.Pool]; p != nil {
				c.placeShared(p)
			} else {
				c.placeStep(w.step)
			}
		})
	}
	for _, w := range list { // a step whose queue reaches its share takes two places
		if p := c.shares[w.step.job.queue.Pool]; p != nil {
			for !p.done() && !c.visitsUsedUp(w.step.job.queue.Pool) {
				if c.startLimitReached() {
					return false
				}
				c.withinVisits(w.step.job.queue.Pool, func() { c.placeShared(p) })
			}
			if !p.done() {
				c.visitLimitReached = true
			}
		}
	}
	return !c.visitLimitReached
}

// placeShared places the next step of a pool with shares, of a queue below its share
// only as many tasks as its share allows.
func (c *cycle) placeShared(p *sharedPool) {
	if i, ok := p.First(p.waits); ok {
		q := p.queues[i]
		w := q.steps[q.next]
		c.claiming = q
		c.placeStep(w.step)
		c.claiming = nil
		if !q.met() { // otherwise the step's other tasks have their turn without a claim
			w.tried = true
			q.next++
		}
		return
	}
	if !p.done() {
		w := p.steps[p.next]
		w.tried = true
		c.placeStep(w.step)
	}
}

// countStart counts a start of a step's task as used by its queue.
func (c *cycle) countStart(st *step) {
	if q := c.sharedQueueOf(st); q != nil {
		q.pool.Started(q.index, st.spec.Needs.MilliCPU)
	}
}
