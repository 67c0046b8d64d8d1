package preempt

import "github.com/fireflygate/fireflygate/infra"

// Victim is a run that may be ended.
type Victim struct {
	// ID identifies the run to the caller.
	ID int
	// Reserved is the capacity that ending the run frees.
	Reserved infra.Resources
	// LostWork is the work since the last checkpoint, in core-milliseconds.
	LostWork int64
}
