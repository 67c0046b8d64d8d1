package placement

import "github.com/fireflygate/fireflygate/infra"

// Host is a worker host as the planner knows it.
type Host struct {
	Name string
	Zone string
	Rack string
	// Capacity is what the host holds.
	Capacity infra.Resources
	// Unschedulable is why no new task goes there, such as "leaving",
	// "unreachable" or "quarantined"; empty if it may.
	Unschedulable string
}
