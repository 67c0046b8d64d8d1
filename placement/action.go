package placement

import "github.com/fireflygate/fireflygate/infra"

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Start starts a pending job on Host.
	Start ActionKind = iota + 1
	// Throttle sets the CPU limit of a running job; 100 removes the limit.
	Throttle
	// Evict checkpoints and stops a running job, and requeues it.
	Evict
)

// Action is one action of a plan. The planner has already reserved the
// resources of a start; the owner calls Release if it can't commit it.
type Action struct {
	Kind     ActionKind
	Job      string
	Host     string
	CPULimit int
	// Resources is what a start reserves, which may differ from what the job
	// declares.
	Resources infra.Resources
	// Reason explains the action to users.
	Reason string
}
