package preempt

import "github.com/fireflygate/fireflygate/infra"

// Victim is a run that may give way.
type Victim struct {
	// ID is the caller's own.
	ID int
	// Reserved is the room that its end frees.
	Reserved infra.Resources
	// LostWork is the work that its end throws away, in core-milliseconds: what
	// it has done since it last saved.
	LostWork int64
}
