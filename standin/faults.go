package standin

// Faults is what goes wrong at a service of the platform. The zero value is
// a healthy service.
type Faults struct {
	// Down refuses every request unprocessed.
	Down bool `json:"down,omitempty"`
	// Hang holds every request without processing it, until its sender
	// gives up or the fault is lifted.
	Hang bool `json:"hang,omitempty"`
	// Paused holds every request and processes it once the fault is lifted,
	// even when its sender has given up.
	Paused bool `json:"paused,omitempty"`
	// DelayMS is how long each request waits before it is processed, in
	// milliseconds, also when its sender gives up meanwhile.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LoseNext is how many answers are lost, from now on, after the request
	// took effect.
	LoseNext int `json:"lose_next,omitempty"`
	// LoseShare is the share of answers lost after that, 0 to 1, drawn from
	// a generator seeded with Seed.
	LoseShare float64 `json:"lose_share,omitempty"`
	Seed      uint64  `json:"seed,omitempty"`
}
