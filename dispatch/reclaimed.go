package dispatch

import (
	"slices"
	"time"
)

// reclaimed are the runs on one worker that are stopped for a task of a pool with shares.
type reclaimed struct {
	at     time.Time
	worker *worker
	runs   []*run
	pool   string
	// queue is the one with the claim, empty for a preemption by priority.
	queue string
	// milliCPU is what the runs request, in thousandths of a core; 0 for a preemption by
	// priority.
	milliCPU int64
}

// stopping reports whether one of the runs hasn't ended.
func (r *reclaimed) stopping() bool { return slices.ContainsFunc(r.runs, (*run).mayBeAlive) }

// mayBeAlive reports whether the run isn't known to have ended.
func (r *run) mayBeAlive() bool { return slices.Contains(r.task.runs, r) }

// pruneReclaims forgets the entries older than a second whose runs have all ended. Runs
// that are being stopped no longer count as used by their queues. Otherwise a queue would
// seem to exceed its share by them, and more of its runs would be stopped. Workers where
// capacity is being reclaimed get no starts until then, as smaller tasks would take it.
func (c *cycle) pruneReclaims() {
	c.s.reclaims = slices.DeleteFunc(c.s.reclaims, func(r reclaimed) bool {
		stopping := r.stopping()
		for _, run := range r.runs {
			if run.mayBeAlive() && !run.task.done && !run.task.step.job.state.Final() { // countUsage leaves out what has ended
				c.countStopped(run)
			}
		}
		if r.queue != "" && stopping && r.worker.index < len(c.workers) && c.workers[r.worker.index] == r.worker {
			c.reserved[r.worker.index] = true
		}
		return !stopping && c.now.Sub(r.at) >= time.Second
	})
}
