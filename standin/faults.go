package standin

// Faults are the faults injected into a service of the platform. The zero value
// injects none.
type Faults struct {
	// Down rejects every request unprocessed.
	Down bool `json:"down,omitempty"`
	// Hang blocks every request before it is processed, until its sender gives up
	// or the fault is cleared.
	Hang bool `json:"hang,omitempty"`
	// Paused blocks every request and processes it once the fault is cleared, even
	// if its sender has given up.
	Paused bool `json:"paused,omitempty"`
	// DelayMS delays the processing of each request, in milliseconds. The request
	// is processed even if its sender gives up.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LoseNext is the number of following replies to drop after the request took
	// effect.
	LoseNext int `json:"lose_next,omitempty"`
	// LoseShare is the fraction of later replies to drop, 0 to 1, drawn from a
	// generator seeded with Seed.
	LoseShare float64 `json:"lose_share,omitempty"`
	Seed      uint64  `json:"seed,omitempty"`
}
