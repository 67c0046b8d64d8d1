package flow

import "time"

const (
	// lowRTT is the smoothed round trip up to which workers are polled without a
	// pause.
	lowRTT = 60 * time.Millisecond
	// pollIntervalFactor is the poll interval per unit of round trip above lowRTT.
	// A longer interval lets one report cover several ended runs.
	pollIntervalFactor = 5
	// maxPollInterval stays well below the lease and bounds how late an ended run
	// is noticed.
	maxPollInterval = time.Second
)

// PollInterval returns the pause between a worker's report and the next poll,
// for the given smoothed round trip of orders.
func PollInterval(smoothedRTT time.Duration) time.Duration {
	return min(max(pollIntervalFactor*(smoothedRTT-lowRTT), 0), maxPollInterval)
}
