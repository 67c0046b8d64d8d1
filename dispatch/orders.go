package dispatch

import "github.com/fireflygate/fireflygate/runner"

// StartOrder is a start for one worker.
type StartOrder struct {
	Worker runner.Worker
	Start  runner.Start
	// Snapshot is what the choice of the worker went by.
	Snapshot WorkerSnapshot
}

// StopOrder is a stop for one worker.
type StopOrder struct {
	Worker   runner.Worker
	Stop     runner.Stop
	Cause    StopCause
	Snapshot WorkerSnapshot
}

// CPULimitOrder is a change of pace for one worker.
type CPULimitOrder struct {
	Worker   runner.Worker
	CPULimit runner.CPULimit
	Snapshot WorkerSnapshot
}

// Plan is what a planning cycle orders.
type Plan struct {
	Starts    []StartOrder
	Stops     []StopOrder
	CPULimits []CPULimitOrder
	// StartLimitReached is set if there may be more starts than were allowed.
	StartLimitReached bool
}
