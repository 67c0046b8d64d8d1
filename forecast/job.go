package forecast

import "time"

// Job is an unfinished job that is due by an event.
type Job struct {
	ID string
	// Running is set if the job occupies a host.
	Running bool
	// Remaining is the expected remaining run time.
	Remaining time.Duration
	// Due is when the job must be finished.
	Due time.Time
	// MilliCPU is the job's reservation, in thousandths of a core.
	MilliCPU int64
	// BlockedReason is why a pending job can't start now; empty if it can.
	BlockedReason string
}

// latestStart returns when the job must start, or resume, to finish by Due.
func (j Job) latestStart() time.Time { return j.Due.Add(-j.Remaining) }
