package eviction

// Kind is what is decided about a task.
type Kind uint8

// The kinds of decisions.
const (
	// Throttle the task to Percent of its processors.
	Throttle Kind = iota + 1
	// Unthrottle the throttle of the task.
	Unthrottle
	// Evict the task.
	Evict
)

// Decision is one step of relief.
type Decision struct {
	Kind     Kind
	Job      string
	CPULimit int
}
