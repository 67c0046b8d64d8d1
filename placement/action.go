package placement

import "github.com/fireflygate/fireflygate/infra"

// ActionKind is what a plan asks for.
type ActionKind uint8

// The kinds of actions.
const (
	// Start a pending job on Host.
	Start ActionKind = iota + 1
	// Throttle a running job to Percent of its processors; 100 lifts it.
	Throttle
	// Evict a running job: checkpoint, stop, and queue it again.
	Evict
)

// Action is one step of a plan. The planner has already reserved what a start
// needs; the owner calls Release if it can't commit it.
type Action struct {
	Kind     ActionKind
	Job      string
	Host     string
	CPULimit int
	// Resources is what a start reserves, which may differ from what the
	// job declares.
	Resources infra.Resources
	// Reason says why, for people.
	Reason string
}
