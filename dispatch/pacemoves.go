package dispatch

import (
	"slices"
	"strings"

	"github.com/fireflygate/fireflygate/colocate"
	"github.com/fireflygate/fireflygate/pace"
)

// moveAttemptsPerCycle bounds the searches for a worker that can take a task, for serving
// and for best-effort tasks each. A search visits every worker.
const moveAttemptsPerCycle = 2

// moveOffSlowWorkers stops tasks on slow workers that end or serve sooner on another one,
// serving tasks first. A task that fits on no other worker stays.
func (c *cycle) moveOffSlowWorkers() {
	p := c.s.pace
	if p == nil {
		return
	}
	p.moves.prune(c.now)
	if p.slow == 0 || c.s.commitOverdue {
		return // a stopped task couldn't start again before its row is durable
	}
	workers := c.s.byID()
	tasks, underWay := c.countMovable(workers)
	limit := pace.MovesAtOnce(tasks)
	for kind, candidate := range [...]func(*run) bool{c.servesBetterElsewhere, c.endsSoonerElsewhere} {
		underWay += c.moveKind(workers, &p.moves.next[kind], candidate, limit-underWay)
	}
}

// countMovable counts the tasks on slow workers, with those being moved off them, and the
// moves under way.
func (c *cycle) countMovable(workers []*worker) (tasks, underWay int) {
	for _, w := range workers {
		if w.pace.Slow() {
			tasks += len(w.runs)
		}
	}
	moves := &c.s.pace.moves
	for i := range moves.list {
		if m := &moves.list[i]; !m.over() {
			underWay++
			tasks += 1 - len(m.task.runs)
		}
	}
	return tasks, underWay
}

// moveKind begins at most limit moves of candidates, at most one per worker, and returns
// their number. It visits the workers from the ID next on, which it sets to that of the
// worker with which the next cycle begins.
func (c *cycle) moveKind(workers []*worker, next *string, candidate func(*run) bool, limit int) int {
	moved, attempts := 0, moveAttemptsPerCycle
	first, _ := slices.BinarySearchFunc(workers, *next, func(w *worker, id string) int { return strings.Compare(w.info.ID, id) })
	for i := range workers {
		w := workers[(first+i)%len(workers)]
		if !w.pace.Slow() || !w.reported || w.suspected || !w.unresponsiveSince.IsZero() || c.s.pace.moves.movedFrom(c.now, w) {
			continue
		}
		if moved >= limit || attempts == 0 {
			*next = w.info.ID
			break
		}
		r := c.firstMovable(w, candidate)
		if r == nil {
			continue
		}
		attempts--
		target := c.moveTarget(r)
		if target == nil {
			continue
		}
		if !c.verified(r) {
			*next = w.info.ID // tried again in the next cycle
			break
		}
		c.move(r, target)
		moved++
	}
	return moved
}

// firstMovable returns the first candidate among the runs of a worker, nil if there is
// none.
func (c *cycle) firstMovable(w *worker, candidate func(*run) bool) *run {
	for _, r := range w.runsByNumber {
		if c.movable(r) && candidate(r) {
			return r
		}
	}
	return nil
}

// movable reports whether a run may be moved at all.
func (c *cycle) movable(r *run) bool {
	t := r.task
	return r.phase == running && r.reported && !t.done && len(t.runs) == 1 && !t.step.spec.Gang && !t.crashed() && !c.s.pace.moves.moving(t) &&
		!c.s.pace.moves.putOff(c.now, r)
}

// servesBetterElsewhere reports whether a serving run misses its target and may be
// stopped.
func (c *cycle) servesBetterElsewhere(r *run) bool {
	st := r.task.step
	return st.spec.Serving() && st.spec.LongRunning && r.percent >= 100 && !r.overTargetSince.IsZero() && c.mayDisrupt(r.task)
}

// endsSoonerElsewhere reports whether a best-effort run ends sooner if it is moved.
func (c *cycle) endsSoonerElsewhere(r *run) bool {
	spec := r.task.step.spec
	if !spec.BestEffort || !spec.Checkpointing || spec.LongRunning || c.now.Sub(r.worker.lastActionAt) < colocate.ActionCooldown {
		return false
	}
	normal, _ := c.s.remaining(c.now, r)
	return pace.WorthMoving(normal, r.worker.pace.Factor(c.now))
}

// moveTarget returns a worker that isn't slow and can take the task of a run now, nil if
// there is none. Workers whose speed is known go first: one without tasks may be slow too.
func (c *cycle) moveTarget(r *run) *worker {
	t := r.task
	suits := func(w *worker) bool {
		return w != r.worker && !w.pace.Slow() && !w.health.failing(c.now) && w.info.HasLabel(t.step.spec.DataRack) &&
			!t.avoids(w.info.ID) && !c.s.pace.moves.hasTarget(w)
	}
	if w := c.choose(t, func(w *worker) bool { return w.pace.Known(c.now) && suits(w) }); w != nil {
		return w
	}
	return c.choose(t, suits)
}

// move stops a run, so that its task starts again elsewhere. The task is then placed like
// any other, on the target or on another worker.
func (c *cycle) move(r *run, target *worker) {
	m := &c.s.pace.moves
	m.list = append(m.list, paceMove{task: r.task, run: r.number, from: r.worker, target: target, startedAt: c.now})
	if r.task.step.spec.Serving() {
		c.s.Stats.ServingMovedOffSlow++
	} else {
		c.s.Stats.BestEffortMovedOffSlow++
		r.worker.lastActionAt = c.now
	}
	c.s.orderStop(c.now, r, SlowWorker)
}
