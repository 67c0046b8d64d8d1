package standin

// EndpointFaults are the faults injected into an endpoint. The zero value injects
// none.
type EndpointFaults struct {
	// SlowFactor multiplies the processing time of new requests; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// FailAll responds to every request without delay with status 500.
	FailAll bool `json:"fail_all,omitempty"`
	// Hang blocks requests in progress until the fault is cleared.
	Hang bool `json:"hang,omitempty"`
	// CutNext is the number of following responses to truncate.
	CutNext int `json:"cut_next,omitempty"`
	// Refuse rejects every request unprocessed.
	Refuse bool `json:"refuse,omitempty"`
	// RefuseOverrun rejects requests above the slot limit unprocessed, instead of
	// processing them and counting an overrun.
	RefuseOverrun bool `json:"refuse_overrun,omitempty"`
}
