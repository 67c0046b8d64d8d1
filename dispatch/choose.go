package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/rank"
)

// allowed reports whether a worker is in the step's pool and has its label.
func (c *cycle) allowed(st *step, w *worker) bool {
	return w.info.Pool == st.job.queue.Pool && w.info.HasLabel(st.spec.Label)
}

// fits reports whether the worker can take one more task of the step now.
func (c *cycle) fits(st *step, w *worker) bool {
	if c.reserved[w.index] || w.counts.unproven > 0 || !c.allowed(st, w) || !st.spec.Reserved().Fits(w.free) {
		return false
	}
	if _, ok := st.permitFor(c.now, w); !ok {
		return false
	}
	if !c.hasUnusedCPU(st, w) || c.atPerWorkerLimit(st, w) {
		return false
	}
	if c.restarting && !w.answeredLately(c.now) {
		w.wantAnswer()
		c.checkPending = true
		return false
	}
	return true
}

// hasUnusedCPU reports whether a best-effort task would find enough unused
// processors on a worker.
func (c *cycle) hasUnusedCPU(st *step, w *worker) bool {
	return !st.spec.BestEffort || float64(c.load(w).unusedCPU) >= minUnusedShare*float64(st.spec.Needs.MilliCPU)
}

// atPerWorkerLimit reports whether a worker runs as many tasks of the step as
// MaxPerWorker allows.
func (c *cycle) atPerWorkerLimit(st *step, w *worker) bool {
	return st.spec.MaxPerWorker > 0 && st.onWorker(w) >= st.spec.MaxPerWorker
}

// minUnusedShare is the share of its requested processors that a best-effort
// task must find unused. It is low because such tasks still progress when the
// worker is oversubscribed.
const minUnusedShare = 0.3

// impact returns the estimated effect of placing a task of the step on the
// worker's serving tasks, and whether the placement is allowed.
func (c *cycle) impact(st *step, w *worker) (float64, bool) {
	switch {
	case st.spec.BestEffort:
		l := c.load(w)
		if l.serving == 0 {
			return 0, true
		}
		impact := l.impactOf(c, st, fullCPU)
		return impact.Effect, impact.Shortfall <= 0
	case st.class != "":
		return c.s.model.EffectOn(&c.s.colocation(c.now, w).Worker, st.class), true
	default:
		return 0, true
	}
}

// rankTask returns the ranking input for a step's tasks.
func (c *cycle) rankTask(st *step) rank.Task {
	return rank.Task{
		Request: st.spec.Needs, Serving: st.spec.Serving(), BestEffort: st.spec.BestEffort, Spread: st.spec.LongRunning,
		LowImpact: c.demand.lowImpact[st.spec.Image], IgnoreClasses: c.s.cfg.Disabled.Has(mechanism.ClassAffinity),
	}
}

// cost returns the ranking cost of placing one more task of the step on a
// worker, and whether it fits there. failed says whether a run of the task
// failed there before.
func (c *cycle) cost(st *step, rt *rank.Task, w *worker, failed bool) (float64, bool) {
	if !c.fits(st, w) {
		return 0, false
	}
	impact, ok := c.impact(st, w)
	if !ok {
		return 0, false
	}
	candidate := c.candidate(st, w)
	candidate.Impact, candidate.FailedBefore = impact, failed
	return rank.Cost(rt, &candidate), true
}

// choose returns the worker with the lowest cost for a task, or nil if it fits
// nowhere. With a filter, only workers for which it returns true are considered;
// without one, choose records that the task fits nowhere, and later calls skip
// workers that haven't changed since.
func (c *cycle) choose(t *task, filter func(*worker) bool) *worker {
	st := t.step
	rt := c.rankTask(st)
	if filter == nil && c.knownNotToFit(st) {
		return nil
	}
	since := uint64(0)
	if filter == nil {
		since = c.triedSince(st)
	}
	var best *worker
	var leastCost float64
	for _, w := range c.workers {
		if w.lastChange < since {
			continue // didn't fit before, and nothing has changed since
		}
		if (filter != nil && !filter(w)) || w.runs[t.id()] != nil {
			continue
		}
		c.visits++
		if cost, ok := c.cost(st, &rt, w, t.avoids(w.info.ID)); ok && (best == nil || cost < leastCost) {
			best, leastCost = w, cost
		}
	}
	if best == nil && filter == nil {
		c.recordTried(st, since)
	}
	return best
}

// candidate returns the ranking input for a worker.
func (c *cycle) candidate(st *step, w *worker) rank.Worker {
	l := c.load(w)
	siblings := 0
	if st.spec.LongRunning {
		siblings = st.onWorker(w)
	}
	return rank.Worker{
		Slowdown:       c.slowdown(w),
		Free:           w.free,
		Capacity:       w.info.Capacity,
		UnusedMilliCPU: l.unusedCPU,
		Serving:        l.serving,
		BestEffort:     l.bestEffort,
		OtherClasses:   l.serving - l.byClass[st.class],
		Demand:         l.demand,
		SameStep:       siblings,
		DataLocal:      w.info.HasLabel(st.spec.DataRack),
		Suspect:        w.health.failing(c.now) && !c.s.cfg.Disabled.Has(mechanism.FailingWorkers),
	}
}

// placeGang starts all tasks of a gang, or none. A gang with SameRack is placed
// within one rack if any has the capacity. If the gang fits nowhere, capacity is
// reserved for one of its tasks.
func (c *cycle) placeGang(st *step) {
	for i := range st.tasks {
		if t := &st.tasks[i]; t.done || len(t.runs) > 0 || !c.safeToStart(t) {
			return // a member of the previous run may still be alive
		}
	}
	placed := []*worker(nil)
	if st.spec.SameRack {
		for _, rack := range c.racks() {
			placed = c.tryGang(st, func(w *worker) bool { return slices.Contains(w.info.Labels, rack) })
			if placed != nil {
				break
			}
		}
	}
	if placed == nil {
		placed = c.tryGang(st, nil)
	}
	if placed == nil {
		c.reserveCapacity(st)
		return
	}
	c.s.nextRun++
	checkpoint, gang := gangCheckpoint(st), new(GangStart)
	for i := range st.tasks {
		st.tasks[i].checkpoint = checkpoint
		c.startRun(&st.tasks[i], placed[i], c.s.nextRun, startOptions{gang: gang, cpuLimit: fullCPU})
	}
}

// stopGang stops the members of a gang's run of which one member wasn't started, so that they
// don't wait for it in vain.
func (s *State) stopGang(now time.Time, st *step, number uint64) {
	if !st.spec.Gang {
		return
	}
	for i := range st.tasks {
		for _, r := range slices.Clone(st.tasks[i].runs) {
			if r.number == number {
				s.orderStop(now, r, GangIncomplete)
			}
		}
	}
}

// gangCheckpoint returns one member's checkpoint, which holds for the gang.
func gangCheckpoint(st *step) string {
	for i := range st.tasks {
		if st.tasks[i].checkpoint != "" {
			return st.tasks[i].checkpoint
		}
	}
	return ""
}

// racks returns all labels of the workers. Labels that aren't racks only yield
// larger groups of workers.
func (c *cycle) racks() []string {
	var all []string
	for _, w := range c.workers {
		for _, l := range w.info.Labels {
			if !slices.Contains(all, l) {
				all = append(all, l)
			}
		}
	}
	slices.Sort(all)
	return all
}

// tryGang returns a worker for each task of a gang, or nil if they don't all
// fit. With a filter, only workers for which it returns true are considered.
func (c *cycle) tryGang(st *step, filter func(*worker) bool) []*worker {
	placed := make([]*worker, 0, len(st.tasks))
	var taken []*run
	for i := range st.tasks {
		t := &st.tasks[i]
		w := c.choose(t, filter)
		if w == nil {
			break
		}
		r := &run{task: t, worker: w, reserved: st.spec.Reserved()}
		w.addRun(r)
		taken = append(taken, r)
		placed = append(placed, w)
	}
	for _, r := range taken {
		r.worker.removeRun(r)
	}
	if len(placed) < len(st.tasks) {
		return nil
	}
	return placed
}
