package standin

// EndpointStats counts what an endpoint saw.
type EndpointStats struct {
	// Running and Peak are the requests being worked on, now and at most.
	Running int `json:"running"`
	Peak    int `json:"peak"`
	// Began and Ended count requests worked on.
	Began uint64 `json:"began"`
	Ended uint64 `json:"ended"`
	// Overruns counts requests that began above the slots.
	Overruns uint64 `json:"overruns"`
	// Refused counts requests refused unprocessed.
	Refused uint64 `json:"refused"`
	// AfterLeaving counts requests that began while it was leaving.
	AfterLeaving uint64 `json:"after_leaving"`
	// Orphans counts requests whose caller had gone before their end.
	Orphans uint64 `json:"orphans"`
	// PeakConnections is the most connections open at once.
	PeakConnections int `json:"peak_connections"`
}
