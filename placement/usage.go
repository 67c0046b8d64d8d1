package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// JobUsage is the usage of one run.
type JobUsage struct {
	Job  string
	Used infra.Resources
	// DoneMS is the work done, in milliseconds without throttling.
	DoneMS int64
}

// Usage is a host's report on its tasks, which is a lag old.
type Usage struct {
	Host string
	// At is when the report was received.
	At   time.Time
	Jobs []JobUsage
	// LatencyMS is the recent tail latency of latency-critical classes on the
	// host, in milliseconds.
	LatencyMS map[string]float64
}
