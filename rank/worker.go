package rank

import "github.com/fireflygate/fireflygate/infra"

// Worker is what the choice depends on.
type Worker struct {
	// Free is what no run has reserved.
	Free infra.Resources
	// Capacity is what it holds in all.
	Capacity infra.Resources
	// UnusedMilliCPU is thousandths of a core that neither a reservation nor a
	// filler's request covers; it may be negative.
	UnusedMilliCPU int64
	// Serving and Fillers count runs that serve users and that fill.
	Serving, BestEffort int
	// OtherClasses counts runs that serve users and are of another class than
	// the task.
	OtherClasses int
	// Impact is how much the placement is expected to take from the slack of a
	// serving task, its target over its tail.
	Impact float64
	// Demand is the share of the fillers' work that only some workers suit and
	// that this one does, 0 to 1.
	Demand float64
	// SameStep counts runs of the same step.
	SameStep int
	// DataLocal is set if the task's data is in the worker's rack, or it has
	// none.
	DataLocal bool
	// Suspect workers seem to fail whatever they get.
	Suspect bool
	// FailedBefore is set if the task failed there.
	FailedBefore bool
}
