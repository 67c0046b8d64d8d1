package dispatch

import "time"

const (
	// limitedStartAfter is how long all tasks of a job may wait, since they would slow down
	// serving tasks on each worker that has room, until one of them starts at a low CPU limit.
	limitedStartAfter = 2 * time.Second
	// limitedStartInterval is the least time between two such starts on one worker: until its CPU
	// limit is in force, a run disturbs as much as any.
	limitedStartInterval = time.Second
	// limitedStartCheckInterval is the time between two searches for jobs that wait so long.
	limitedStartCheckInterval = 500 * time.Millisecond
	// lowCPULimit is the CPU limit of such a start, in percent, where the serving tasks can bear
	// it; elsewhere the run is paused until they can.
	lowCPULimit = 30
)

// startLimited starts one best-effort task, at a low CPU limit, of each job that has had nothing at
// work for limitedStartAfter. Without that, a job waits without bound beside idle processors while
// the serving tasks on all workers are close to their targets, or their slack isn't known.
func (c *cycle) startLimited(list []*waitingStep) {
	if c.now.Sub(c.s.limitedCheckedAt) < limitedStartCheckInterval {
		return
	}
	c.s.limitedCheckedAt = c.now
	var last *job
	for _, waiting := range list {
		st := waiting.step
		j := st.job
		if j == last || !st.spec.BestEffort || st.spec.Gang {
			continue
		}
		last = j
		if j.atWork() {
			j.idleSince = time.Time{}
			continue
		}
		if j.idleSince.IsZero() {
			j.idleSince = c.now
		}
		if c.now.Sub(j.idleSince) < limitedStartAfter {
			continue
		}
		if c.startLimitReached() || c.visitsLimited() {
			return
		}
		c.startLimitedTask(st)
	}
}

// atWork reports whether a task of the job has a run.
func (j *job) atWork() bool {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.idle < st.unfinishedTasks {
				return true
			}
		}
	}
	return false
}

// startLimitedTask starts a task of the step on the worker where it takes the least slack, at the
// CPU limit that the serving tasks there can bear.
func (c *cycle) startLimitedTask(st *step) {
	t := c.firstStartable(st)
	if t == nil {
		return
	}
	var best *worker
	var leastEffect float64
	bestLimit := 0
	for _, w := range c.workers {
		if c.now.Sub(w.limitedStartAt) < limitedStartInterval || w.runs[t.id()] != nil || t.avoids(w.info.ID) || !c.fits(st, w) {
			continue
		}
		c.visits++
		limit, effect := c.bearableLimit(st, w)
		if best == nil || limit > bestLimit || (limit == bestLimit && effect < leastEffect) {
			best, bestLimit, leastEffect = w, limit, effect
		}
	}
	if best == nil {
		return
	}
	best.limitedStartAt = c.now
	c.s.nextRun++
	c.s.Stats.LimitedStarts++
	c.startRun(t, best, c.s.nextRun, startOptions{cpuLimit: bestLimit})
}

// firstStartable returns the first task of a step that may start, nil if none may.
func (c *cycle) firstStartable(st *step) *task {
	for i := range st.tasks {
		t := &st.tasks[i]
		if !t.done && len(t.runs) == 0 && !t.suspect() && c.safeToStart(t) && c.headroomAllows(t) {
			return t
		}
	}
	return nil
}

// bearableLimit returns the CPU limit at which a task of the step may run on the worker, and its
// effect on the slack there without a limit.
func (c *cycle) bearableLimit(st *step, w *worker) (limit int, effect float64) {
	l := c.load(w)
	if l.serving == 0 {
		return fullCPU, 0
	}
	full := l.impactOf(c, st, fullCPU)
	if l.impactOf(c, st, lowCPULimit).Shortfall <= 0 {
		return lowCPULimit, full.Effect
	}
	return 0, full.Effect
}
