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

// BookingRegistry runs requests with an idempotency key at most once.
type BookingRegistry interface {
	Do(ctx context.Context, r booking.Request, run booking.Run) (booking.Response, outcome.Refusal)
}

// Options configures a Gateway.
type Options struct {
	// Host and Zone are the name and the availability zone of this entry host.
	Host string
	Zone string
	// Calls sets the initial limits on requests; see Gateway.SetCalls.
	Calls settings.Calls
	// MaxRun is the longest time that an endpoint works on a request.
	MaxRun time.Duration
	// Service returns the settings of a service; nil if services have none.
	Service   func(name string) settings.Service
	Ownership OwnershipSource
	// TableAvailable reports whether the table has answered recently; nil
	// means always.
	TableAvailable func() bool
	// Peers sends requests to other entry hosts; nil if there are none.
	Peers peer.Transport
	// DigestFanOut is the number of peers that get a digest in each round; 0
	// means all.
	DigestFanOut int
	// Bookings handles idempotency keys; nil refuses requests that carry one.
	Bookings BookingRegistry
	// Dial connects to an endpoint; nil means TCP.
	Dial dialFunc
	// Observe is called for each finished request; may be nil.
	Observe func(service string, took time.Duration, kind outcome.Kind)
	// Registerer registers the metrics; may be nil.
	Registerer prometheus.Registerer
	Log        *slog.Logger
	// Seed seeds the random choices.
	Seed uint64
}

// PeerHost is another entry host.
type PeerHost struct {
	Name string
	Zone string
}
