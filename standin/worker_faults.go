package standin

// WorkerFaults is what goes wrong at a worker. The zero value is a healthy
// one.
type WorkerFaults struct {
	// Paused freezes the host: no exchange is answered and no run
	// progresses. Its leases lapse meanwhile.
	Paused bool `json:"paused,omitempty"`
	// Dead loses every run and every memory of them; nothing answers.
	Dead bool `json:"dead,omitempty"`
	// Hang answers no exchange and processes none, while runs go on.
	Hang bool `json:"hang,omitempty"`
	// LoseNext is how many answers are lost after the exchange took effect.
	LoseNext int `json:"lose_next,omitempty"`
	// FailStarts makes every run fail as it starts.
	FailStarts bool `json:"fail_starts,omitempty"`
	// RefuseStarts refuses every start.
	RefuseStarts bool `json:"refuse_starts,omitempty"`
	// SlowFactor divides the speed of all runs; 0 counts as 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
}
