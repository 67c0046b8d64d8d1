package eviction

// Kind is the kind of a Decision.
type Kind uint8

const (
	// Throttle limits the task to CPULimit percent of its processors.
	Throttle Kind = iota + 1
	// Unthrottle removes the limit.
	Unthrottle
	// Evict stops the task and requeues it.
	Evict
)

// Decision is an action on one task.
type Decision struct {
	Kind     Kind
	Job      string
	CPULimit int
}
