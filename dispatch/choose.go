package dispatch

import (
	"slices"

	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/rank"
)

// allowed reports whether a worker may run tasks of a step at all.
func (c *cycle) allowed(st *step, w *worker) bool {
	return w.info.Pool == st.job.queue.Pool && w.info.HasLabel(st.spec.Label)
}

// fits reports whether the worker may take one more task of the step now.
func (c *cycle) fits(st *step, w *worker) bool {
	if c.kept[w.slot] || !c.allowed(st, w) || !st.spec.Reserved().Fits(w.free) {
		return false
	}
	if _, ok := st.ticketFor(c.now, w); !ok {
		return false
	}
	return c.fillable(st, w) && !c.crowded(st, w)
}

// fillable reports whether a filler finds processors worth having on a worker.
func (c *cycle) fillable(st *step, w *worker) bool {
	return !st.spec.BestEffort || float64(c.view(w).unused) >= leastFill*float64(st.spec.Needs.MilliCPU)
}

// crowded reports whether a worker has as many tasks of the step as it may.
func (c *cycle) crowded(st *step, w *worker) bool {
	return st.spec.MaxPerWorker > 0 && st.onWorker(w) >= st.spec.MaxPerWorker
}

// leastFill is the share of the processors it asks for that a filler should
// find unused. By recorded reports fillers that ask for a third more than is left
// still go on at 0.8 to 0.9 of their speed, so little is enough; what they may
// take is bounded by those who serve.
const leastFill = 0.3

// harm returns what placing the task would do to those who serve, and whether
// it may be placed all the same.
func (c *cycle) harm(st *step, w *worker) (float64, bool) {
	switch {
	case st.spec.BestEffort:
		v := c.view(w)
		if v.serving == 0 {
			return 0, true
		}
		h := v.harmOf(c, st)
		return h.Effect, h.Shortfall <= 0
	case st.class != "":
		return c.s.model.EffectOn(c.view(w).colocation(c), st.class), true
	default:
		return 0, true
	}
}

// rankTask describes a step's tasks to the ranking.
func (c *cycle) rankTask(st *step) rank.Task {
	return rank.Task{
		Request: st.spec.Needs, Serving: st.spec.Serving(), BestEffort: st.spec.BestEffort, Spread: st.spec.LongRunning,
		LowImpact: c.wanted.quiet[st.spec.Image], IgnoreClasses: c.s.cfg.Disabled.Has(mechanism.ClassAffinity),
	}
}

// cost returns how bad a worker is for one more task of the step, and whether
// the task fits there. Failed tells whether it failed there before.
func (c *cycle) cost(st *step, rt *rank.Task, w *worker, failed bool) (float64, bool) {
	if !c.fits(st, w) {
		return 0, false
	}
	harm, ok := c.harm(st, w)
	if !ok {
		return 0, false
	}
	candidate := c.candidate(st, w)
	candidate.Impact, candidate.FailedBefore = harm, failed
	return rank.Cost(rt, &candidate), true
}

// choose returns the best worker for a task by what is known of the task
// itself, nil if it fits nowhere. A filter, if given, leaves out workers.
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
	var least float64
	for _, w := range c.workers {
		if w.changed < since {
			continue // didn't fit, and nothing has changed there
		}
		if (filter != nil && !filter(w)) || w.runs[t.id()] != nil {
			continue
		}
		if cost, ok := c.cost(st, &rt, w, t.avoids(w.info.ID)); ok && (best == nil || cost < least) {
			best, least = w, cost
		}
	}
	if best == nil && filter == nil {
		c.noteTried(st, since)
	}
	return best
}

// candidate describes a worker to the ranking.
func (c *cycle) candidate(st *step, w *worker) rank.Worker {
	v := c.view(w)
	siblings := 0
	if st.spec.LongRunning {
		siblings = st.onWorker(w)
	}
	return rank.Worker{
		Free:           w.free,
		Capacity:       w.info.Capacity,
		UnusedMilliCPU: v.unused,
		Serving:        v.serving,
		BestEffort:     v.fillers,
		OtherClasses:   v.serving - v.byClass[st.class],
		Demand:         v.wanted,
		SameStep:       siblings,
		DataLocal:      w.info.HasLabel(st.spec.DataRack),
		Suspect:        w.health.suspect(c.now) && !c.s.cfg.Disabled.Has(mechanism.FailingWorkers),
	}
}

// placeGang starts all tasks of a gang, or none. A gang that runs slower over
// several racks is placed within one if any rack has the room.
func (c *cycle) placeGang(st *step) {
	for i := range st.tasks {
		if t := &st.tasks[i]; t.done || len(t.runs) > 0 || !c.settled(t) {
			return // members of the last run aren't all over yet
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
		c.keepRoom(st)
		return
	}
	c.s.nextRun++
	saved := gangCheckpoint(st)
	for i := range st.tasks {
		st.tasks[i].saved = saved
		c.start(&st.tasks[i], placed[i], c.s.nextRun)
	}
}

// gangCheckpoint returns one member's checkpoint, which holds for the gang.
func gangCheckpoint(st *step) string {
	for i := range st.tasks {
		if st.tasks[i].saved != "" {
			return st.tasks[i].saved
		}
	}
	return ""
}

// racks returns every label of the workers; a label that isn't a rack makes a
// wider set and does no harm.
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

// tryGang finds workers for all tasks of a gang, nil if they don't all fit.
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
		w.add(r)
		taken = append(taken, r)
		placed = append(placed, w)
	}
	for _, r := range taken {
		r.worker.drop(r)
	}
	if len(placed) < len(st.tasks) {
		return nil
	}
	return placed
}
