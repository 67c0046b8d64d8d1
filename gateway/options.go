package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/booking"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/settings"
)

// Book makes requests with an idempotency key run at most once.
type BookingRegistry interface {
	Do(ctx context.Context, r booking.Request, run booking.Run) (booking.Response, outcome.Refusal)
}

// Options is what a Gateway works with.
type Options struct {
	// Host and Zone are this entry host's.
	Host string
	Zone string
	// Calls bounds requests; SetCalls replaces it.
	Calls settings.Calls
	// MaxRun is the longest that an endpoint works on a request.
	MaxRun time.Duration
	// Service returns the settings of a service; nil for defaults only.
	Service   func(name string) settings.Service
	Ownership OwnershipSource
	// TableAvailable reports whether the table answered lately; nil for yes.
	TableAvailable func() bool
	// Peers reaches other entry hosts; nil when there are none.
	Peers peer.Transport
	// DigestFanOut is how many peers, in turn, get each digest of free
	// slots; 0 for all.
	DigestFanOut int
	// Book handles idempotency keys; nil refuses requests that carry one.
	Bookings BookingRegistry
	// Observe is told of each finished request; nil for none.
	Observe func(service string, took time.Duration, kind outcome.Kind)
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer
	Log        *slog.Logger
	// Seed makes random choices repeatable.
	Seed uint64
}

// PeerHost is another entry host.
type PeerHost struct {
	Name string
	Zone string
}
