package workload

import "time"

// Queue is a class of jobs with one policy, as configuration sets it.
type Queue struct {
	// Name identifies the queue across versions of the configuration.
	Name string
	// Pool is the set of workers that run the queue's tasks.
	Pool string
	// Priority orders queues; 0 comes first and may preempt higher numbers.
	Priority int
	// MaxAttempts is how many runs of a task may fail before its job fails.
	MaxAttempts int
	// Stretch and Target set the latency objective: Stretch times the job's
	// critical path, and Target more.
	Stretch float64
	Target  time.Duration
	// NeedsPermit means that the policy service decides which workers may run
	// a step of this queue.
	NeedsPermit bool
}
