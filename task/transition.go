package task

// Transition says what became of an attempted change of state.
type Transition uint8

// The results of a transition. The zero value is Illegal.
const (
	// Illegal: the state does not allow the change; the record is as before.
	Illegal Transition = iota
	// Applied: the record returned is the new one.
	Applied
	// Unchanged: the job is already where the change would take it.
	Unchanged
	// StaleEpoch: the change is about another run than the record's.
	StaleEpoch
)
