package dispatch

import "github.com/fireflygate/fireflygate/runner"

// StartOrder is a start for one worker.
type StartOrder struct {
	Worker runner.Worker
	Start  runner.Start
	// Known is what the choice of the worker went by.
	Known Evidence
}

// StopOrder is a stop for one worker.
type StopOrder struct {
	Worker runner.Worker
	Stop   runner.Stop
	Cause  StopCause
	Known  Evidence
}

// PaceOrder is a change of pace for one worker.
type PaceOrder struct {
	Worker runner.Worker
	Pace   runner.CPULimit
	Known  Evidence
}

// Plan is what a planning cycle orders.
type Plan struct {
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
	// HeldBack is set if there may be more starts than were allowed.
	HeldBack bool
}
