package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/colocate"
	"github.com/fireflygate/fireflygate/pace"
)

// moveAttemptsPerCycle bounds the searches for a worker that can take a task, for serving
// and for best-effort tasks each. A search visits every worker.
const moveAttemptsPerCycle = 2

// paceMoves holds the moves off slow workers in progress.
type paceMoves struct {
	list []paceMove
	// next holds, for serving and for best-effort tasks, the ID of the worker from which
	// the next cycle goes on.
	next [2]string
	// verifying is the run whose move waits for reports, since verifyingSince; nil if
	// none does.
	verifying      *run
	verifyingSince time.Time
}

// paceMove is the move of a task off a slow worker.
type paceMove struct {
	task *task
	run  uint64
	from *worker
	// target is a worker that could take the task when the move began. It isn't counted
	// on for other moves meanwhile.
	target    *worker
	startedAt time.Time
}

// over reports whether the task runs again, and serves if it is to, or needn't.
func (m *paceMove) over() bool {
	t := m.task
	if t.done || t.step.job.state.Final() {
		return true
	}
	return slices.ContainsFunc(t.runs, func(r *run) bool {
		return r.number != m.run && r.phase == running && (!t.step.spec.Serving() || r.percent >= 100)
	})
}

// prune drops the moves that are over. One whose worker may not move another task yet is
// kept until then.
func (m *paceMoves) prune(now time.Time) {
	m.list = slices.DeleteFunc(m.list, func(one paceMove) bool {
		return one.over() && now.Sub(one.startedAt) >= colocate.ActionCooldown
	})
}

// hasTarget reports whether a worker is to take a task, movedFrom whether a task of a
// worker was moved within colocate.ActionCooldown.
func (m *paceMoves) hasTarget(w *worker) bool {
	return slices.ContainsFunc(m.list, func(one paceMove) bool { return one.target == w })
}

func (m *paceMoves) movedFrom(now time.Time, w *worker) bool {
	return slices.ContainsFunc(m.list, func(one paceMove) bool {
		return one.from == w && now.Sub(one.startedAt) < colocate.ActionCooldown
	})
}

// moving reports whether a task is being moved.
func (m *paceMoves) moving(t *task) bool {
	return slices.ContainsFunc(m.list, func(one paceMove) bool { return one.task == t })
}

// moveOffSlowWorkers stops tasks on slow workers that end or serve sooner on another one:
// serving tasks first. A task that fits on no other worker stays, as its stop would only
// cost time.
func (c *cycle) moveOffSlowWorkers() {
	p := c.s.pace
	if p == nil {
		return
	}
	p.moves.prune(c.now)
	if p.slow == 0 {
		return
	}
	workers := c.s.byID()
	tasks, underWay := 0, 0
	for _, w := range workers {
		if w.pace.Slow() {
			tasks += len(w.runs)
		}
	}
	for i := range p.moves.list {
		if m := &p.moves.list[i]; !m.over() {
			underWay++
			tasks += 1 - len(m.task.runs)
		}
	}
	for kind, candidate := range [...]func(*run) bool{c.servesBetterElsewhere, c.endsSoonerElsewhere} {
		attempts := moveAttemptsPerCycle
		first, _ := slices.BinarySearchFunc(workers, p.moves.next[kind], func(w *worker, id string) int { return strings.Compare(w.info.ID, id) })
		for i := range workers {
			w := workers[(first+i)%len(workers)]
			if !w.pace.Slow() || !w.reported || w.suspected || !w.unresponsiveSince.IsZero() || p.moves.movedFrom(c.now, w) {
				continue
			}
			if underWay >= pace.MovesAtOnce(tasks) || attempts == 0 {
				p.moves.next[kind] = w.info.ID
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
				p.moves.next[kind] = w.info.ID // goes on with it
				break
			}
			c.move(r, target)
			underWay++
		}
	}
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

// mayDisrupt reports whether the step's allowance for unavailable tasks permits that one
// more of them is stopped.
func (c *cycle) mayDisrupt(t *task) bool {
	st := t.step
	if st.spec.DisruptionBudget < 0 {
		return true
	}
	unavailable := 0
	for i := range st.tasks {
		if other := &st.tasks[i]; other != t && !other.available(c.now) {
			unavailable++
		}
	}
	return unavailable < st.spec.DisruptionBudget
}

// available reports whether a long-running task serves, as far as is known. A task on a
// worker that doesn't answer or is about to leave counts as unavailable.
func (t *task) available(now time.Time) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool {
		w := r.worker
		return r.phase == running && r.reported && r.percent >= 100 && !w.suspected && w.unresponsiveSince.IsZero() && w.listed && !w.info.Draining &&
			now.Sub(w.polledAt) < reportMaxAge
	})
}

// reportMaxAge is the age from which a worker's report says nothing of its tasks. Workers
// are polled at least every two seconds.
const reportMaxAge = 2500 * time.Millisecond

// verified reports whether recent reports confirm that the other tasks of a step with an
// allowance serve, as a worker may have failed since its last report. If not, it requests
// the reports. After verifyTime the move is put off, so that others aren't held up.
func (c *cycle) verified(r *run) bool {
	st, m := r.task.step, &c.s.pace.moves
	if !st.spec.Serving() || st.spec.DisruptionBudget < 0 {
		return true
	}
	recent := true
	for i := range st.tasks {
		for _, other := range st.tasks[i].runs {
			if other != r && c.now.Sub(other.worker.polledAt) > verifiedAge {
				other.worker.reportWanted, recent = true, false
			}
		}
	}
	switch {
	case recent:
		m.verifying = nil
	case m.verifying != r || c.now.Sub(m.verifyingSince) > verifyTime+verifyPause:
		m.verifying, m.verifyingSince = r, c.now
	}
	return recent
}

const (
	// verifiedAge is the greatest age of the reports that confirm a move: that from which
	// early polls are sent, and a round trip.
	verifiedAge = earlyPollAge + 300*time.Millisecond
	// verifyTime is how long a move waits for such reports: a few round trips. It is tried
	// again after verifyPause, or once another move has been tried.
	verifyTime, verifyPause = 300 * time.Millisecond, time.Second
)

// putOff reports whether the reports for the move of a run didn't come in time.
func (m *paceMoves) putOff(now time.Time, r *run) bool {
	waited := now.Sub(m.verifyingSince)
	return m.verifying == r && waited > verifyTime && waited <= verifyTime+verifyPause
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

// move stops a run, so that its task starts again elsewhere. The target isn't promised:
// the task is placed like any other.
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
