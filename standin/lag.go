package standin

// Lag says how the published membership list lags behind the true one. The
// zero value publishes at once.
type Lag struct {
	// Held publishes nothing until Publish is called.
	Held bool `json:"held,omitempty"`
	// DelayMS publishes each change that much later, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}
