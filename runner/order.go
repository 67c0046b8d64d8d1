package runner

import (
	"github.com/fireflygate/fireflygate/workload"
)

// Start orders a worker to start a run of a task.
type Start struct {
	Task workload.TaskID
	// Run is the number of this start of the task; it increases with each.
	Run uint64
	// Payload is the job's payload.
	Payload string
	// LeaseUntil is when the worker's lease expires and all its runs end
	// unless it is renewed, in milliseconds of the worker's clock.
	LeaseUntil int64
	// Token is the fencing token.
	Token uint64
	// Checkpoint is the checkpoint to resume from; empty to run from the
	// beginning.
	Checkpoint string
	// Permit is the policy service's ticket for this worker and step, if the
	// queue needs one.
	Permit string
}

// Stop orders a worker to stop a run. If the run's start arrives later, the
// worker refuses it.
type Stop struct {
	Task  workload.TaskID
	Run   uint64
	Token uint64
}

// CPULimit orders a worker to limit a run to a percentage of its processors.
type CPULimit struct {
	Task    workload.TaskID
	Run     uint64
	Percent int
	Token   uint64
}

// Renewal renews the lease of all runs on a worker, acknowledges reported ends
// and requests the worker's report.
type Renewal struct {
	To    Addressee
	Token uint64
	// Acknowledged is the number of the last end that is durable. The worker
	// drops ends up to and including it.
	Acknowledged uint64
	// LeaseUntil is the new expiry in milliseconds of the worker's clock; 0
	// leaves the lease as it is.
	LeaseUntil int64
	// WaitMS is how long the worker may delay its answer until a run ends, in
	// milliseconds.
	WaitMS int64
}
