package standin

// EndpointStats are an endpoint's counters.
type EndpointStats struct {
	// Running and Peak are the current and the highest number of requests in
	// progress.
	Running int `json:"running"`
	Peak    int `json:"peak"`
	// Began and Ended count started and finished requests.
	Began uint64 `json:"began"`
	Ended uint64 `json:"ended"`
	// Overruns counts requests started above the slot limit.
	Overruns uint64 `json:"overruns"`
	// Refused counts requests rejected unprocessed.
	Refused uint64 `json:"refused"`
	// AfterLeaving counts requests started while the endpoint was leaving.
	AfterLeaving uint64 `json:"after_leaving"`
	// Orphans counts requests whose caller disconnected before they finished.
	Orphans uint64 `json:"orphans"`
	// PeakConnections is the highest number of open connections.
	PeakConnections int `json:"peak_connections"`
}
