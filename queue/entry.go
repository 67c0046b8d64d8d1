package queue

import "time"

// Entry is a step that waits for workers.
type Entry struct {
	// Priority is the priority of the step's queue; 0 is the highest.
	Priority int
	// Restart is set for long-running tasks that ran before, whose users are
	// without service until they restart.
	Restart bool
	// LongRunning is set for the first start of long-running tasks.
	LongRunning bool
	// MaxPerWorker bounds the step's tasks on one worker; 0 means no bound.
	MaxPerWorker int
	// LatestStart is when the step must start for its job to meet its
	// objective.
	LatestStart time.Time
	// LatestUsefulStart is when the step must start for its job's result to be
	// useful.
	LatestUsefulStart time.Time
	// Arrived is when the job was submitted or became due.
	Arrived time.Time
	// RemainingWork is the expected unfinished work of the job's occurrence, in
	// core-milliseconds.
	RemainingWork int64
	// Effort orders the entries that are on time, see EffortOf.
	Effort float64
	// ID makes the order deterministic.
	ID string
}
