package peer

import (
	"crypto/tls"
	"log/slog"
	"time"
)

// Options bounds the connections of a Client or a Server. Zero fields take
// the defaults below.
type Options struct {
	// Host is this entry host's name, told to the other side.
	Host string
	// MaxFrame is the largest frame body, in bytes.
	MaxFrame int
	// MaxInFlight is the largest number of unanswered requests in one
	// connection.
	MaxInFlight int
	// WriteQueue is the largest number of frames waiting to be written.
	WriteQueue int
	// UserTimeout bounds how long sent bytes stay unacknowledged before the
	// kernel gives the connection up (TCP_USER_TIMEOUT). It should be
	// shorter than the session of a lease. Zero leaves the kernel's own.
	UserTimeout time.Duration
	// Handshake bounds dialing and the exchange of hellos.
	HandshakeTimeout time.Duration
	// MinBackoff and MaxBackoff bound the wait between failed dials.
	MinBackoff, MaxBackoff time.Duration
	// AcceptAnyHost lets a client talk to whichever host answers at an address,
	// for callers that know hosts by address only.
	AcceptAnyHost bool
	// TLS, if set, encrypts and authenticates both directions. It is asked
	// for the settings of each new connection, so a renewed certificate is
	// used from the next connection on.
	TLS func() (*tls.Config, error)
	// Log takes events; nil discards them.
	Log *slog.Logger
}

// The defaults of Options.
const (
	DefaultMaxFrame    = 4 << 20
	DefaultMaxInFlight = 1024
	DefaultWriteQueue  = 1024
	defaultHandshake   = 2 * time.Second
	defaultMinBackoff  = 50 * time.Millisecond
	defaultMaxBackoff  = 2 * time.Second
)

// withDefaults returns o with zero fields filled in.
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
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}
