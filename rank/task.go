package rank

import "github.com/fireflygate/fireflygate/infra"

// Task holds the properties of a task that its cost depends on.
type Task struct {
	// Request is what the task requests.
	Request infra.Resources
	// Serving is set for tasks that serve users and have a tail latency
	// target.
	Serving bool
	// BestEffort is set for tasks that reserve no processors.
	BestEffort bool
	// LowImpact is set for best-effort tasks with little effect on any serving
	// task, as far as is known.
	LowImpact bool
	// IgnoreClasses disables the costs that depend on the serving classes of a
	// worker, for experiments.
	IgnoreClasses bool
	// Spread is set for tasks that should not share a worker with others of
	// their step.
	Spread bool
}
