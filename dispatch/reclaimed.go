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

// pruneReclaims forgets what was reclaimed more than a second ago and has ended. Runs that
// are being stopped no longer count as used by their queues, else others of a queue would
// be stopped that are within its share. Workers where capacity is being reclaimed get no
// starts meanwhile, which would take it in parts.
func (c *cycle) pruneReclaims() {
	c.s.reclaims = slices.DeleteFunc(c.s.reclaims, func(r reclaimed) bool {
		stopping := r.stopping()
		for _, run := range r.runs {
			if run.mayBeAlive() && !run.task.step.job.state.Final() { // those of ended jobs don't count anyway
				c.countStopped(run)
			}
		}
		if r.queue != "" && stopping && r.worker.index < len(c.workers) && c.workers[r.worker.index] == r.worker {
			c.reserved[r.worker.index] = true
		}
		return !stopping && c.now.Sub(r.at) >= time.Second
	})
}
