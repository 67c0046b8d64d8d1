package rank

import "github.com/fireflygate/fireflygate/infra"

// Task is what the choice depends on.
type Task struct {
	// Needs is what the task asks for.
	Needs infra.Resources
	// Serving tasks have users of their own and a target for their tail.
	Serving bool
	// Filler tasks take what others leave; their processors aren't reserved.
	Filler bool
	// Quiet fillers do no harm to any serving task, as far as is known.
	Quiet bool
	// AnyClass leaves out who serves on a worker, for experiments.
	AnyClass bool
	// Spread tasks should not share a worker with others of their step.
	Spread bool
}
