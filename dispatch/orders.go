package dispatch

import "github.com/fireflygate/fireflygate/runner"

// StartOrder is an order to start a run on a worker.
type StartOrder struct {
	Worker runner.Worker
	To     runner.Addressee
	Start  runner.Start
	// Snapshot is what was known of the worker when it was chosen.
	Snapshot WorkerSnapshot
	// Prior tells why the task's run before counts as over.
	Prior PriorRun
	// Sending is shared by the sender and the State, which may withdraw the order.
	Sending *Sending
	// Gang is shared by the members of a gang, nil for other tasks.
	Gang *GangStart
}

// StopOrder is an order to stop a run on a worker.
type StopOrder struct {
	Worker   runner.Worker
	To       runner.Addressee
	Stop     runner.Stop
	Cause    StopCause
	Snapshot WorkerSnapshot
}

// CPULimitOrder is an order to change the CPU limit of a run on a worker.
type CPULimitOrder struct {
	Worker   runner.Worker
	To       runner.Addressee
	CPULimit runner.CPULimit
	Snapshot WorkerSnapshot
}

// Plan holds the orders of one planning cycle.
type Plan struct {
	Starts    []StartOrder
	Stops     []StopOrder
	CPULimits []CPULimitOrder
	// StartLimitReached is set if the limit on starts may have cut off others,
	// VisitLimitReached if the limit on visits has left steps untried.
	StartLimitReached, VisitLimitReached bool
	// Visits counts the visits of workers in searches that the limit bounds, UrgentVisits
	// those for the urgent steps that it puts first.
	Visits, UrgentVisits int
}
