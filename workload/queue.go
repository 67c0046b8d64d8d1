package workload

import "time"

// Queue is a class of jobs that share one scheduling policy.
type Queue struct {
	// Name identifies the queue across configuration versions.
	Name string
	// Pool is the set of workers that run the queue's tasks.
	Pool string
	// Priority orders queues; 0 is the highest. A queue may preempt those of
	// lower priority.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job
	// fails.
	MaxAttempts int
	// Stretch and Target define the latency objective of a job: Stretch times
	// its critical path plus Target.
	Stretch float64
	Target  time.Duration
	// NeedsPermit is set if the policy service decides which workers may run
	// a step of this queue.
	NeedsPermit bool
	// GuaranteedShare is the fraction of the pool's processors to which the queue is
	// entitled whenever it has demand for them; 0 for none.
	GuaranteedShare float64 `msgpack:",omitempty"`
}
