package workload

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Limits that ValidateNew enforces. They lie far above what callers need, and keep sums
// over tasks and workers within the range of integers.
const (
	// MaxPayload is the largest payload in bytes. Hosts that relay orders keep many.
	MaxPayload = 4000
	// MaxName is the largest length of an image, a label or a rack in bytes.
	MaxName = 256
	// MaxNeed is the largest request of a task for one resource.
	MaxNeed = 10_000_000_000
	// MaxDuration is the largest estimate, tail target and interval.
	MaxDuration = 10 * 365 * 24 * time.Hour
	// MaxDue is the latest due time in Unix milliseconds.
	MaxDue = 8_000_000_000_000
)

// ValidateNew returns an error for the first limit that a job exceeds which a caller
// submits. A job that was accepted by an earlier release may exceed those that Validate
// doesn't have.
func (j *Job) ValidateNew() error {
	if err := j.Validate(); err != nil {
		return err
	}
	if len(j.Payload) > MaxPayload {
		return errors.Newf("payload has %d bytes, want at most %d", len(j.Payload), MaxPayload)
	}
	if j.Interval < 0 || j.Interval > MaxDuration {
		return errors.Newf("interval is %v, want 0 to %v", j.Interval, MaxDuration)
	}
	if j.Timed() && (j.FirstDue < 0 || j.FirstDue+int64(j.Repeats)*j.Interval.Milliseconds() > MaxDue) {
		return errors.New("due times are out of range")
	}
	for i := range j.Steps {
		if err := j.Steps[i].validateNew(); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
	}
	return nil
}

// validateNew checks the limits of a new job's step.
func (s *Step) validateNew() error {
	switch {
	case max(len(s.Image), len(s.Label), len(s.DataRack)) > MaxName:
		return errors.Newf("image, label or rack has more than %d bytes", MaxName)
	case max(s.Needs.MilliCPU, s.Needs.MemoryMB, s.Needs.Accelerators) > MaxNeed:
		return errors.Newf("resource request is over %d", int64(MaxNeed))
	case s.Estimate > MaxDuration || s.TailTarget > MaxDuration:
		return errors.Newf("estimate or tail target is over %v", MaxDuration)
	case s.TailTarget < 0:
		return errors.New("negative tail target")
	default:
		return nil
	}
}
