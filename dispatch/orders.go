package dispatch

import "github.com/fireflygate/fireflygate/runner"

// StartOrder is a start for one worker.
type StartOrder struct {
	Worker runner.Worker
	Start  runner.Start
}

// StopOrder is a stop for one worker.
type StopOrder struct {
	Worker runner.Worker
	Stop   runner.Stop
}

// PaceOrder is a change of pace for one worker.
type PaceOrder struct {
	Worker runner.Worker
	Pace   runner.Pace
}

// Plan is what a planning cycle orders.
type Plan struct {
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
}
