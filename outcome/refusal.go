package outcome

import "time"

// Refusal is the final result of a request that got no complete response from
// an endpoint.
type Refusal struct {
	// Kind is NotRun or Unknown.
	Kind Kind
	// Reason is a short machine-readable cause, such as "queue_full".
	Reason string
	// RetryAfter is how long the caller should wait before it retries; 0 means
	// that a retry will not help.
	RetryAfter time.Duration
}
