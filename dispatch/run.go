package dispatch

import (
	"cmp"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// phase says what is known of a run that may be alive.
type phase uint8

const (
	// ordered: the start was given and not answered yet.
	ordered phase = iota
	// uncertain: the start got no answer; it may be carried out late.
	uncertain
	// running: the worker took it.
	running
	// stopping: its stop was ordered, and may have been lost.
	stopping
)

// run is one start of a task on a worker.
type run struct {
	task   *task
	number uint64
	// token is the fencing token that its start carried.
	token  uint64
	worker *worker
	phase  phase
	// confirmed is set once the start is known to have been carried out. Until
	// then a run that is being stopped may never have been, and has no end.
	confirmed bool
	// since is when the start was given, or first seen by this owner.
	since    time.Time
	reserved infra.Resources
	percent  int
	usage    int64
	saved    string
	// pace is the share of its processors that it may use, in percent.
	pace int
	// pacedAt is when the pace was last ordered, paceOpen is set while that
	// may not be in force.
	pacedAt  time.Time
	paceOpen bool
	// stopAt is when the last stop was ordered, stopCause why.
	stopAt    time.Time
	stopCause StopCause
	// tailOver is since when it has been over its tail target.
	tailOver time.Time
}

// compare orders runs by their numbers; the members of a gang share one.
func (r *run) compare(other *run) int {
	return cmp.Or(
		cmp.Compare(r.number, other.number), strings.Compare(r.task.step.job.spec.ID, other.task.step.job.spec.ID),
		cmp.Compare(r.task.index, other.task.index),
	)
}

// confirm takes in that the worker carried the start out.
func (r *run) confirm() {
	r.confirmed = true
	if r.phase == ordered || r.phase == uncertain {
		r.phase = running
	}
}
