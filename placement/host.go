package placement

import "github.com/fireflygate/fireflygate/infra"

// Host describes a worker host.
type Host struct {
	Name string
	Zone string
	Rack string
	// Capacity is the total capacity.
	Capacity infra.Resources
	// Unschedulable is the reason why the host gets no new tasks, such as
	// "leaving", "unreachable" or "quarantined"; empty if it gets them.
	Unschedulable string
}
