package ownerdriver

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/settings"
)

// Config configures a Driver.
type Config struct {
	// Host is this entry host's name in the membership list.
	Host string
	// Incarnation is the unique ID of this process.
	Incarnation string
	// Table is the platform's table service.
	Table infra.Table
	// Transport calls the other entry hosts.
	Transport peer.Transport
	// Mux registers the handlers for their calls.
	Mux peer.Mux
	// Lease holds the durations of sessions and the limits for shards.
	Lease settings.Lease
	// Drain returns nil once nothing is in flight for a shard for which this
	// host no longer holds a grant. It is called again after an error. Nil
	// means that nothing is ever in flight.
	Drain func(ctx context.Context, shard string) error
	// Log receives events; nil discards them.
	Log *slog.Logger
	// Now returns the monotonic time; nil means time.Now.
	Now func() time.Time
}

// ticksPerRenewal is how often per renewal interval the machine is ticked.
const ticksPerRenewal = 8

// withDefaults returns c with defaults for unset optional fields.
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

// machine returns the configuration of the ownership state machine.
func (c Config) machine() ownership.Config {
	return ownership.Config{
		Host:        c.Host,
		Incarnation: c.Incarnation,
		Lease:       c.Lease,
		MaxRun:      c.Lease.MaxRun.D(),
	}
}

// tableTimeout bounds one request to the table. Several must fit in a session.
func (c Config) tableTimeout() time.Duration { return c.Lease.Session.D() / 4 }
