package task

// Transition is the result of an attempted state change.
type Transition uint8

// The results of a transition. The record changes only if it was applied.
const (
	// Illegal: the state does not allow the change.
	Illegal Transition = iota
	// Applied: the returned record is the new one.
	Applied
	// Unchanged: the job is already in the target state.
	Unchanged
	// StaleEpoch: the report concerns a run other than the record's.
	StaleEpoch
)
