package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/preempt"
)

const (
	// preemptAfter is how long a step waits for room that comes by itself
	// before others give way to it; a pool of some ten tasks a worker that
	// run for a second or two frees room on some worker about as often.
	preemptAfter = 150 * time.Millisecond
	// preemptAgain is how long the room that victims make is waited for; a
	// stop takes a few hundred milliseconds at most.
	preemptAgain = time.Second
	// preemptTry is the least time between two tries for a step, and
	// triesPerCycle bounds the tries of a cycle: each looks at every run of
	// the pool, and with some hundred steps waiting took two thirds of a cycle.
	preemptTry    = 100 * time.Millisecond
	triesPerCycle = 2
)

// makeRoom has runs of later queues give way to one task of a step that fits
// nowhere.
func (c *cycle) makeRoom(st *step) {
	if st.blockedSince.IsZero() {
		st.blockedSince = c.now
	}
	if c.s.cfg.Disabled.Has(mechanism.Preemption) || st.spec.BestEffort || c.tries >= triesPerCycle || c.now.Sub(st.blockedSince) < preemptAfter ||
		c.now.Before(st.preemptNext) {
		return
	}
	c.tries++
	st.preemptNext = c.now.Add(preemptTry)
	var best []preempt.Victim
	var at *worker
	var least int64
	for _, w := range c.workers {
		if c.kept[w.slot] || !c.allowed(st, w) || c.crowded(st, w) {
			continue
		}
		chosen, loss, ok := preempt.Choose(st.spec.Reserved(), w.free, c.victims(st, w))
		if ok && len(chosen) > 0 && (at == nil || loss < least) {
			best, at, least = chosen, w, loss
		}
	}
	if at == nil {
		return
	}
	st.preemptNext = c.now.Add(preemptAgain)
	c.keep(at)
	runs := slices.Clone(at.inOrder)
	for _, v := range best {
		c.s.Stats.Preempted++
		c.s.stop(c.now, runs[v.ID], Preempted)
	}
}

// victims returns the runs on a worker that come after the step: those of
// queues with a higher number that end by themselves.
func (c *cycle) victims(st *step, w *worker) []preempt.Victim {
	var all []preempt.Victim
	for i, r := range w.inOrder {
		spec := r.task.step.spec
		if r.phase != running || spec.LongRunning || spec.Gang ||
			r.task.step.job.queue.Priority <= st.job.queue.Priority {
			continue
		}
		all = append(all, preempt.Victim{ID: i, Reserved: r.reserved, LostWork: r.unsaved(c.now)})
	}
	return all
}

// unsaved returns the work, in core-milliseconds, that a stop throws away:
// what a task that saves did since, about half of its interval, or everything
// since the start.
func (r *run) unsaved(now time.Time) int64 {
	spec := r.task.step.spec
	cores := spec.Needs.MilliCPU
	if spec.Checkpointing {
		return cores * saveInterval.Milliseconds() / 2 / 1000
	}
	return cores * now.Sub(r.since).Milliseconds() / 1000
}

// saveInterval is about how often tasks that save progress do so; it only
// weighs victims against each other.
const saveInterval = time.Second
