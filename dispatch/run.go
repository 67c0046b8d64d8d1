package dispatch

import (
	"cmp"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/pace"
)

// phase is the state of a run that may be alive.
type phase uint8

const (
	// ordered: the start was sent and isn't answered yet.
	ordered phase = iota
	// uncertain: the start got no answer; it may still be carried out.
	uncertain
	// running: the worker has accepted the start.
	running
	// stopping: a stop was ordered, and may have been lost.
	stopping
)

// run is one start of a task on a worker.
type run struct {
	task   *task
	number uint64
	// token is the fencing token of the start order.
	token  uint64
	worker *worker
	// life is the number of the worker's life in which it was last known to be, or for
	// which it was ordered.
	life  uint64
	phase phase
	// confirmed is set once the start is known to have been carried out. Before
	// that, a run being stopped may never have existed and would report no end.
	confirmed bool
	// confirmedAt is when it was first confirmed. omitted is set once a later report has
	// listed neither the run nor its end.
	confirmedAt time.Time
	omitted     bool
	// reported is set once a report of its worker has included it.
	reported bool
	// held is set while its start is withheld, stored once its location is durable.
	held, stored bool
	// sending is that of the start order, nil if this owner didn't order it.
	sending *Sending
	// separate is set if its task was suspect at its start: its worker gets no other
	// starts until it has reported this run.
	separate bool
	// startedAt is when the start was ordered or first seen by this owner.
	startedAt time.Time
	reserved  infra.Resources
	// percent is the reported progress; for a serving run, 100 once it serves.
	percent int
	// usage is the processors used over the last report's window, in thousandths
	// of a core; for a serving run, its tail in milliseconds.
	usage      int64
	checkpoint string
	// cpuLimit is the share of its processors that it may use, in percent.
	cpuLimit int
	// cpuLimitSetAt is when the CPU limit was last ordered; cpuLimitUnconfirmed
	// is set while that may not be in force.
	cpuLimitSetAt       time.Time
	cpuLimitUnconfirmed bool
	// stopOrderedAt and stopCause are the time and cause of the last stop
	// order.
	stopOrderedAt time.Time
	stopCause     StopCause
	// progress measures its speed.
	progress pace.Progress
	// overTargetSince is when its tail went over the target, zero if it isn't.
	overTargetSince time.Time
}

// compare orders runs by number; members of a gang, which share one, by job and
// index.
func (r *run) compare(other *run) int {
	return cmp.Or(
		cmp.Compare(r.number, other.number), strings.Compare(r.task.step.job.spec.ID, other.task.step.job.spec.ID),
		cmp.Compare(r.task.index, other.task.index),
	)
}

// withdraw withdraws its start. It returns false if the start may have been sent.
func (r *run) withdraw() bool {
	return r.held || (r.sending != nil && r.sending.withdraw())
}

// markConfirmed records that the worker carried the start out.
func (r *run) markConfirmed(now time.Time) {
	if !r.confirmed {
		r.confirmed, r.confirmedAt = true, now
	}
	if r.phase == ordered || r.phase == uncertain {
		r.phase = running
	}
}

// unproven reports whether its task was suspect at its start and its worker hasn't
// reported it.
func (r *run) unproven() bool { return r.separate && !r.reported }

// markReported records that a report of its worker included the run.
func (r *run) markReported() {
	if r.reported {
		return
	}
	r.worker.counts.drop(r)
	r.reported = true
	r.worker.counts.add(r)
}
