package ownership

import (
	"time"

	"github.com/fireflygate/fireflygate/settings"
)

// Config configures a Machine.
type Config struct {
	// Host is this entry host's name in the membership list.
	Host string
	// Incarnation is the unique ID of this process.
	Incarnation string
	// Lease holds the durations of sessions and promises and the limits for
	// shards.
	Lease settings.Lease
	// MaxRun is the maximum time that an endpoint works on a request.
	MaxRun time.Duration
}

// Limits of concurrent operations of a Machine.
const (
	// maxMoves is the maximum number of concurrent moves to preferred hosts.
	maxMoves = 2
	// handOverBatches is the number of batches in which a stopping host hands
	// over its shards. A shard serves no requests while it is drained, so that
	// not all are drained at once.
	handOverBatches = 4
	// maxClaims is the maximum number of claims in flight.
	maxClaims = 8
)

// bounds returns the durations of this process that other hosts rely on.
func (c Config) bounds() Bounds {
	return Bounds{Session: c.Lease.Session.D(), MaxRun: c.MaxRun}
}

// lapseTime is how long an observer waits for a renewal by a process with these
// bounds: one session by the observer's clock, which may run fast.
func (c Config) lapseTime(b Bounds) time.Duration {
	return c.addClockDrift(max(c.Lease.Session.D(), b.Session))
}

// drainTime is the time after which a stopped host's last request has ended, if
// none runs longer than maxRun or this host's own limit.
func (c Config) drainTime(maxRun time.Duration) time.Duration {
	return c.addClockDrift(max(c.MaxRun, maxRun))
}

// addClockDrift adds the maximum drift between two clocks to a duration.
func (c Config) addClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.Lease.ClockRate)
}

// renew is the interval between renewals of the session.
func (c Config) renew() time.Duration { return c.Lease.Renew.D() }
