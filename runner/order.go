package runner

import (
	"github.com/fireflygate/fireflygate/workload"
)

// Start orders a worker to start a run of a task.
type Start struct {
	Task workload.TaskID
	// Run numbers the task's starts; it rises.
	Run uint64
	// Payload is the job's.
	Payload string
	// LeaseUntil is when all that runs there ends unless renewed, in
	// milliseconds of the worker's clock.
	LeaseUntil int64
	// Token is the fencing token.
	Token uint64
	// Checkpoint is what the run resumes from; empty for the beginning.
	Checkpoint string
	// Permit is the policy service's ticket for this worker and step.
	Permit string
}

// Stop orders a worker to stop a run. A run that hasn't come yet is refused
// when it comes.
type Stop struct {
	Task  workload.TaskID
	Run   uint64
	Token uint64
}

// CPULimit limits a run to a share of its processors.
type CPULimit struct {
	Task    workload.TaskID
	Run     uint64
	Percent int
	Token   uint64
}

// Renewal renews the lease of all that runs on a worker, acknowledges ends
// and asks for its report.
type Renewal struct {
	Token uint64
	// Acknowledged is the number of the last end that is durable; the worker
	// forgets ends up to it.
	Acknowledged uint64
	// LeaseUntil is in milliseconds of the worker's clock; 0 renews nothing.
	LeaseUntil int64
	// WaitMS is how long the worker may hold its answer for an end to come.
	WaitMS int64
}
