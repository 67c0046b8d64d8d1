package forecast

import "time"

// Job is work due by an event that is not done yet.
type Job struct {
	ID string
	// Running tells a job with a host from a pending one.
	Running bool
	// Remaining is the run time that is left, by what was learned.
	Remaining time.Duration
	// Due is when it must be done.
	Due time.Time
	// MilliCPU is what it reserves.
	MilliCPU int64
	// BlockedReason is why a pending job can't start now; empty if it can.
	BlockedReason string
}

// latestStart is when the job must go on, or start, to be done when due.
func (j Job) latestStart() time.Time { return j.Due.Add(-j.Remaining) }
