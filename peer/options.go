package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"
)

// Options configures a Client or a Server. Zero fields take the defaults
// below.
type Options struct {
	// Host is the name of this entry host, which it sends in its hello.
	Host string
	// MaxFrame is the largest frame body, in bytes.
	MaxFrame int
	// MaxInFlight is the largest number of unanswered requests per connection.
	MaxInFlight int
	// WriteQueue is the largest number of frames waiting to be written.
	WriteQueue int
	// UserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT). It should be shorter
	// than the lease session. Zero leaves the kernel's default.
	UserTimeout time.Duration
	// HandshakeTimeout limits dialing and the handshake together.
	HandshakeTimeout time.Duration
	// MinBackoff and MaxBackoff limit the wait after a failed dial.
	MinBackoff, MaxBackoff time.Duration
	// AcceptAnyHost makes a client skip the check of the peer's host name, for
	// callers that know peers by address only.
	AcceptAnyHost bool
	// Dial opens a client's connections; nil dials with TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// TLS, if set, returns the configuration for mutual authentication. It is
	// called for each new connection, so that renewed certificates take effect
	// without a restart.
	TLS func() (*tls.Config, error)
	// Log receives events; nil discards them.
	Log *slog.Logger
}

// Defaults of Options.
const (
	DefaultMaxFrame    = 4 << 20
	DefaultMaxInFlight = 1024
	DefaultWriteQueue  = 1024
	defaultHandshake   = 2 * time.Second
	defaultMinBackoff  = 50 * time.Millisecond
	defaultMaxBackoff  = 2 * time.Second
)

// withDefaults returns a copy of o with zero fields set to their defaults.
func (o Options) withDefaults() Options {
	if o.MaxFrame == 0 {
		o.MaxFrame = DefaultMaxFrame
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	if o.WriteQueue == 0 {
		o.WriteQueue = DefaultWriteQueue
	}
	if o.HandshakeTimeout == 0 {
		o.HandshakeTimeout = defaultHandshake
	}
	if o.MinBackoff == 0 {
		o.MinBackoff = defaultMinBackoff
	}
	if o.MaxBackoff == 0 {
		o.MaxBackoff = defaultMaxBackoff
	}
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}
