package tenure

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/settings"
)

// Config is what a Keeper needs.
type Config struct {
	// Host is this entry host's name in the membership list.
	Host string
	// Incarnation is unique to this process.
	Incarnation string
	// Table is the platform's table service.
	Table infra.Table
	// Transport reaches the other entry hosts.
	Transport peer.Transport
	// Mux takes the handlers for their requests.
	Mux peer.Mux
	// Lease bounds sessions and shards.
	Lease settings.Lease
	// Drain returns nil once nothing is in flight under a shard of which
	// this host holds no grant any more. An error leads to another try. Nil
	// means that nothing ever is.
	Drain func(ctx context.Context, shard string) error
	// Log takes events; nil discards them.
	Log *slog.Logger
	// Now reads the monotonic clock; nil for time.Now.
	Now func() time.Time
}

// ticksPerRenewal is how often time is let pass in each renewal interval.
const ticksPerRenewal = 8

// withDefaults returns c with empty optional fields filled in.
func (c Config) withDefaults() Config {
	if c.Drain == nil {
		c.Drain = func(context.Context, string) error { return nil }
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// machine returns the configuration of the decisions.
func (c Config) machine() ownership.Config {
	return ownership.Config{
		Host:        c.Host,
		Incarnation: c.Incarnation,
		Lease:       c.Lease,
		MaxRun:      c.Lease.MaxRun.D(),
	}
}

// tableTimeout bounds one request to the table: several must fit in a session.
func (c Config) tableTimeout() time.Duration { return c.Lease.Session.D() / 4 }
