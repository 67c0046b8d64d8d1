package logsink

import "sync/atomic"

// Stats counts log lines. It is safe for concurrent use.
type Stats struct {
	// Written counts lines written to the output.
	Written atomic.Int64
	// Folded counts lines that were folded into an equal one.
	Folded atomic.Int64
	// OverBudget counts lines dropped by the rate limit, QueueFull those dropped
	// because the queue was full.
	OverBudget, QueueFull atomic.Int64
}
