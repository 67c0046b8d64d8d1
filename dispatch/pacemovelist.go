package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/colocate"
)

// paceMoves holds the moves off slow workers in progress.
type paceMoves struct {
	list []paceMove
	// next holds, for serving and for best-effort tasks, the ID of the worker with which
	// the next cycle begins.
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
	// target is a worker that could take the task when the move began. While the
	// move is listed, it isn't the target of another one.
	target    *worker
	startedAt time.Time
}

// over reports whether the task runs again, and serves if it is a serving task, or needn't
// run any more.
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

// hasTarget reports whether a worker is the target of a move.
func (m *paceMoves) hasTarget(w *worker) bool {
	return slices.ContainsFunc(m.list, func(one paceMove) bool { return one.target == w })
}

// movedFrom reports whether a move off a worker began within colocate.ActionCooldown.
func (m *paceMoves) movedFrom(now time.Time, w *worker) bool {
	return slices.ContainsFunc(m.list, func(one paceMove) bool {
		return one.from == w && now.Sub(one.startedAt) < colocate.ActionCooldown
	})
}

// moving reports whether a task is being moved.
func (m *paceMoves) moving(t *task) bool {
	return slices.ContainsFunc(m.list, func(one paceMove) bool { return one.task == t })
}
