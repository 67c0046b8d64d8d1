package routing

import "time"

// Config tunes a Pool.
type Config struct {
	// Zone is this host's availability zone.
	Zone string
	// ZonePenalty multiplies the score of an endpoint of another zone; 1 or
	// more.
	ZonePenalty float64
	// SlowStart is how long a new endpoint takes to get its full share.
	SlowStart time.Duration
	// EjectAfter is how many failures in a row eject an endpoint.
	EjectAfter int
	// EjectFor is how long a first ejection lasts; it grows with each.
	EjectFor time.Duration
	// MaxEjected is the largest share of a service's endpoints ejected at
	// once.
	MaxEjected float64
	// LatencyOutlier is how many times the median latency of its service an
	// endpoint's latency must be for it to be ejected.
	LatencyOutlier float64
}

// DefaultConfig returns the tuning used in production, for a host in zone.
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
