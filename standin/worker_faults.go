package standin

// WorkerFaults are the faults injected into a worker. The zero value injects none.
type WorkerFaults struct {
	// Paused pauses the host: exchanges get no reply and runs make no progress,
	// while leases keep expiring.
	Paused bool `json:"paused,omitempty"`
	// Dead crashes the host: all runs and their state are lost, and exchanges get
	// no reply.
	Dead bool `json:"dead,omitempty"`
	// Hang blocks exchanges unprocessed while runs continue.
	Hang bool `json:"hang,omitempty"`
	// LoseNext is the number of following replies to drop after the exchange took
	// effect.
	LoseNext int `json:"lose_next,omitempty"`
	// FailStarts makes every run fail when it starts.
	FailStarts bool `json:"fail_starts,omitempty"`
	// RefuseStarts refuses every start.
	RefuseStarts bool `json:"refuse_starts,omitempty"`
	// AnyOrder lists the runs in random order.
	AnyOrder bool `json:"any_order,omitempty"`
	// SlowFactor divides the speed of all runs; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
}
