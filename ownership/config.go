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
	// maxClaims is how many claims a host has under way at a time.
	maxClaims = 8
)

// lapse is how long an observer waits for a sign of life: a session by the
// observer's own clock, which may run fast.
func (c Config) lapse() time.Duration {
	session := c.Lease.Session.D()
	return session + time.Duration(float64(session)*c.Lease.ClockRate)
}

// drained is how long after a host stopped its last request is surely over.
func (c Config) drained() time.Duration {
	return c.MaxRun + time.Duration(float64(c.MaxRun)*c.Lease.ClockRate)
}

// renew is how often the session is renewed and the table is read.
func (c Config) renew() time.Duration { return c.Lease.Renew.D() }
