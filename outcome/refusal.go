package outcome

import "time"

// Refusal is the final answer to a request that has no whole answer from an
// endpoint.
type Refusal struct {
	// Kind is NotRun or Unknown.
	Kind Kind
	// Reason is a short machine-readable cause, such as "queue_full".
	Reason string
	// RetryAfter is how long the caller should wait before it asks again; 0
	// when asking again will not help.
	RetryAfter time.Duration
}
