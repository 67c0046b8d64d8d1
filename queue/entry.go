package queue

import "time"

// Entry is a step that waits for workers.
type Entry struct {
	// Priority is the queue's; 0 comes first.
	Priority int
	// Restart marks long-running tasks, whose users notice each second.
	Restart bool
	// LongRunning marks the first start of long-running tasks.
	LongRunning bool
	// MaxPerWorker bounds the step's tasks on one worker, 0 for no bound.
	MaxPerWorker int
	// LatestStart is when the step must start for its job to meet its
	// objective, by the caller's estimates.
	LatestStart time.Time
	// LatestUsefulStart is when it must start for the job's end to be of any use.
	LatestUsefulStart time.Time
	// Arrived is when the job was submitted or came due.
	Arrived time.Time
	// RemainingWork is what the rest of the step takes, in core-milliseconds.
	RemainingWork int64
	// ID breaks ties, so that the order is the same each time.
	ID string
}
