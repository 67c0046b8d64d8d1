package dispatch

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/admission"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/workload"
)

// Admit decides on a new job. It accepts the jobs to which admission doesn't apply; now and
// wallNow are the current time on the monotonic clock and, in milliseconds, on the wall
// clock.
func (s *State) Admit(now time.Time, wallNow int64, spec *workload.Job, q workload.Queue) admission.Decision {
	l := s.backlogs.of(&q)
	if l == nil || admission.Exempt(spec, &q) {
		return admission.Decision{}
	}
	load := s.load(now, l)
	if !load.Known() {
		return admission.Decision{}
	}
	job := admission.NewJob(now, wallNow, spec, &q, s.expectedIn(q))
	d := admission.Decide(now, load, job)
	if d.Verdict == admission.Refuse {
		d.RetryAfter = l.retries.Assign(now, d, load, job)
	}
	return d
}

// What a job's row takes at most besides names and the payload, for each step and dependency.
const (
	fixedRowBytes      = 1 << 10
	stepRowBytes       = 256
	dependencyRowBytes = 9
)

// jobRowBytes bounds the size of a job's row, without encoding it.
func jobRowBytes(spec *workload.Job, q *workload.Queue) int {
	size := fixedRowBytes + len(spec.ID) + len(spec.Queue) + len(spec.Payload) + len(q.Name) + len(q.Pool)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		size += stepRowBytes + dependencyRowBytes*len(s.After) + len(s.Label) + len(s.DataRack) + len(s.Image)
	}
	return size
}

// CheckSize returns an error for a new job whose row would be larger than the table service
// takes: long names in many steps.
func CheckSize(spec *workload.Job, q workload.Queue, limits infra.TableLimits) error {
	if jobRowBytes(spec, &q) <= limits.RowBytes {
		return nil
	}
	row := JobRow{Job: *spec, Queue: q}
	row.Job.Submitted = math.MaxInt64 // it may not be set yet
	value, err := msgpack.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode job row")
	}
	if len(value) > limits.RowBytes {
		return errors.Newf("the job takes %d bytes, want %d at most", len(value), limits.RowBytes)
	}
	return nil
}

// load returns what a new job of a class of queues would find.
func (s *State) load(now time.Time, l *backlog) admission.Load {
	s.countBacklogs(now)
	return admission.Load{Ahead: max(l.ahead, 0), Late: max(l.late, 0), Rate: l.rate.PerSecond(), Full: l.full(now)}
}

// Loads calls f with the load of each class of queues to which admission applies.
func (s *State) Loads(now time.Time, f func(c admission.Class, l admission.Load)) {
	for _, l := range s.backlogs.all {
		f(l.class, s.load(now, l))
	}
}

// admissionQueues returns the queues to which admission may apply.
func (s *State) admissionQueues() map[string]workload.Queue {
	if s.cfg.Disabled.Has(mechanism.Admission) {
		return nil
	}
	return s.queues
}
