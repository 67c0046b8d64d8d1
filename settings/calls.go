package settings

// Calls configures interactive requests.
type Calls struct {
	// Timeout is the deadline of a request that names none.
	Timeout Duration `toml:"timeout"`
	// MaxBody is the largest request or answer, in bytes.
	MaxBody int64 `toml:"max_body"`
	// Queue is the largest number of requests waiting for a slot.
	Queue int `toml:"queue"`
	// RetryBudget is the share of recent requests that may be retried.
	RetryBudget float64 `toml:"retry_budget"`
	// ConnectionsPerCaller limits open connections of one caller's address.
	ConnectionsPerCaller int `toml:"connections_per_caller"`
	// BookingWindow is how long the outcome of an idempotency key is kept.
	BookingWindow Duration `toml:"booking_window"`
}
