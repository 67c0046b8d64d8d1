package logsink

import "sync/atomic"

// Stats counts lines. It may be read at any time.
type Stats struct {
	// Written lines were handed to the output.
	Written atomic.Int64
	// Folded lines were counted into an equal one.
	Folded atomic.Int64
	// OverBudget lines found the budget spent, QueueFull lines the queue full.
	OverBudget, QueueFull atomic.Int64
}
