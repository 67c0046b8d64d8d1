package standin

// EndpointFaults is what goes wrong at an endpoint. The zero value is a
// healthy one.
type EndpointFaults struct {
	// SlowFactor multiplies the time of work begun from now on; 0 counts
	// as 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// FailAll answers every request at once with status 500.
	FailAll bool `json:"fail_all,omitempty"`
	// Hang keeps requests working until the fault is lifted.
	Hang bool `json:"hang,omitempty"`
	// CutNext is how many answers, from now on, are cut in the middle.
	CutNext int `json:"cut_next,omitempty"`
	// Refuse refuses every request unprocessed.
	Refuse bool `json:"refuse,omitempty"`
	// RefuseOverrun refuses requests above the slots unprocessed, in place
	// of working on them and recording the overrun.
	RefuseOverrun bool `json:"refuse_overrun,omitempty"`
}
