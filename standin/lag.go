package standin

// Lag is the delay between a change of the membership and its publication. The zero
// value publishes immediately.
type Lag struct {
	// Held disables publication until Publish is called.
	Held bool `json:"held,omitempty"`
	// DelayMS is the publication delay of each change, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}
