package placement

import "github.com/fireflygate/fireflygate/platform"

// Host is a worker host as the planner knows it.
type Host struct {
	Name string
	Zone string
	Rack string
	// Capacity is what the host holds.
	Capacity platform.Resources
	// Unschedulable is why no new task goes there, such as "leaving",
	// "unreachable" or "quarantined"; empty if it may.
	Unschedulable string
}
