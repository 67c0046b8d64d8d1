package rank

import "github.com/fireflygate/fireflygate/infra"

// Worker holds the properties of a worker that a task's cost depends on.
type Worker struct {
	// Free is what isn't reserved.
	Free infra.Resources
	// Capacity is the total capacity.
	Capacity infra.Resources
	// UnusedMilliCPU is what neither reservations nor requests of best-effort
	// tasks cover, in thousandths of a core; it may be negative.
	UnusedMilliCPU int64
	// Serving and BestEffort count the runs of serving and of best-effort
	// tasks.
	Serving, BestEffort int
	// OtherClasses counts runs of serving tasks whose class differs from the
	// task's.
	OtherClasses int
	// Impact is the expected reduction of a serving task's slack, which is the
	// ratio of its tail's target to the tail.
	Impact float64
	// Demand is the share of best-effort work, 0 to 1, that suits this worker
	// and not every other one.
	Demand float64
	// SameStep counts runs of the same step.
	SameStep int
	// DataLocal is set if the task's data is in the worker's rack, or if it
	// has none.
	DataLocal bool
	// Suspect is set for workers that seem to fail every task.
	Suspect bool
	// Slowdown is how many times as long tasks take as on other workers; 0 or 1 if
	// the worker isn't slow.
	Slowdown float64
	// FailedBefore is set if the task failed on the worker.
	FailedBefore bool
}
