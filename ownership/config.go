package ownership

import (
	"time"

	"github.com/fireflygate/fireflygate/settings"
)

// Config is what a Machine needs to know of its host and of the bounds.
type Config struct {
	// Host is this entry host's name in the membership list.
	Host string
	// Incarnation is unique to this process.
	Incarnation string
	// Lease bounds sessions, promises and shards.
	Lease settings.Lease
	// MaxRun is the longest that an endpoint works on a request.
	MaxRun time.Duration
}

// Bounds on what a Machine has under way at once.
const (
	// maxMoves is how many shards a host gives to preferred hosts at a time.
	maxMoves = 2
	// stopMoves is in how many parts a host that stops hands over its shards.
	// A shard serves nothing while it is drained, so not all are at once.
	stopMoves = 4
	// maxClaims is how many claims a host has under way at a time.
	maxClaims = 8
)

// bounds returns what others rely on of this process.
func (c Config) bounds() Bounds {
	return Bounds{Session: c.Lease.Session.D(), MaxRun: c.MaxRun}
}

// lapse is how long an observer waits for a sign of life of a process with
// these bounds: a session by the observer's own clock, which may run fast.
func (c Config) lapse(of Bounds) time.Duration {
	return c.widen(max(c.Lease.Session.D(), of.Session))
}

// drained is how long after a host stopped its last request is surely over,
// when none runs longer than maxRun or this host's own bound.
func (c Config) drained(maxRun time.Duration) time.Duration {
	return c.widen(max(c.MaxRun, maxRun))
}

// widen adds the difference of two clocks to a time.
func (c Config) widen(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.Lease.ClockRate)
}

// renew is how often the session is renewed and the table is read.
func (c Config) renew() time.Duration { return c.Lease.Renew.D() }
