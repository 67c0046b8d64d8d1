package rank

import "github.com/fireflygate/fireflygate/infra"

// Task is what the choice depends on.
type Task struct {
	// Request is what the task asks for.
	Request infra.Resources
	// Serving tasks have users of their own and a target for their tail.
	Serving bool
	// BestEffort tasks take what others leave; their processors aren't reserved.
	BestEffort bool
	// LowImpact fillers do no harm to any serving task, as far as is known.
	LowImpact bool
	// IgnoreClasses leaves out who serves on a worker, for experiments.
	IgnoreClasses bool
	// Spread tasks should not share a worker with others of their step.
	Spread bool
}
