package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// JobUsage is what one run used.
type JobUsage struct {
	Job  string
	Used infra.Resources
	// DoneMS is the work done so far, in milliseconds at full speed.
	DoneMS int64
}

// Usage is a host's lagged word on its tasks.
type Usage struct {
	Host string
	// At is when it was received.
	At   time.Time
	Jobs []JobUsage
	// LatencyMS is the recent tail latency of latency-critical classes on
	// the host, in milliseconds.
	LatencyMS map[string]float64
}
