package routing

import "time"

// Config configures a Pool.
type Config struct {
	// Zone is this host's availability zone.
	Zone string
	// ZonePenalty multiplies the score of endpoints in other zones; at least 1.
	ZonePenalty float64
	// SlowStart is the time over which a new endpoint is ramped up to its full
	// share of slots.
	SlowStart time.Duration
	// EjectAfter is the number of consecutive failures after which an endpoint
	// is ejected.
	EjectAfter int
	// EjectFor is the duration of a first ejection; each further one is longer.
	EjectFor time.Duration
	// MaxEjected is the maximum share of a service's endpoints that may be
	// ejected at the same time.
	MaxEjected float64
	// LatencyOutlier is the multiple of the service's median latency above
	// which an endpoint is ejected.
	LatencyOutlier float64
}

// DefaultConfig returns the production configuration for a host in zone.
func DefaultConfig(zone string) Config {
	return Config{
		Zone:           zone,
		ZonePenalty:    1.2,
		SlowStart:      5 * time.Second,
		EjectAfter:     5,
		EjectFor:       2 * time.Second,
		MaxEjected:     0.5,
		LatencyOutlier: 20,
	}
}
