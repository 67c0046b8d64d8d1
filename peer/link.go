package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/event"
)

// link keeps at most one connection to one peer.
type link struct {
	client  *Client
	host    string
	address string

	mu      sync.Mutex
	conn    *clientConn
	dialing chan struct{}
	wait    *backoff.ExponentialBackOff
	retryAt time.Time
	lastErr error
	closed  bool
}

// newLink returns a link that connects when it is first used.
func newLink(c *Client, host, address string) *link {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = c.opts.MinBackoff
	wait.MaxInterval = c.opts.MaxBackoff
	// The jitter comes from the client's own source of randomness.
	wait.RandomizationFactor = 0
	return &link{client: c, host: host, address: address, wait: wait}
}

// get returns the open connection, dialing if there is none. One caller dials
// while the others wait; after a failure nobody dials until the wait is over.
func (l *link) get(ctx context.Context) (*clientConn, error) {
	for {
		conn, dialing, err := l.current()
		if conn != nil || err != nil {
			return conn, err
		}
		if dialing == nil {
			return l.dial(ctx)
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, errors.Wrap(ErrUnreachable, ctx.Err().Error())
		}
	}
}

// current returns the open connection, or the channel that closes when the
// dial under way ends, or the reason not to dial yet. All nil makes the
// caller the one who dials.
func (l *link) current() (*clientConn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil, errors.Wrap(ErrUnreachable, "closed")
	}
	if l.conn != nil && l.conn.usable() {
		return l.conn, nil, nil
	}
	if l.dialing != nil {
		return nil, l.dialing, nil
	}
	if time.Now().Before(l.retryAt) {
		return nil, nil, errors.Wrapf(ErrUnreachable, "waiting to dial again: %v", l.lastErr)
	}
	l.dialing = make(chan struct{})
	return nil, nil, nil
}

// dial connects and settles what the next callers find.
func (l *link) dial(ctx context.Context) (*clientConn, error) {
	raw, err := l.connect(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if err == nil && l.closed {
		_ = raw.Close()
		err = errors.New("closed")
	}
	if err != nil {
		l.lastErr = err
		l.retryAt = time.Now().Add(l.client.jitter(l.wait.NextBackOff()))
		event.PeerDialFailed.Log(l.client.opts.Log, slog.String("peer", l.host), slog.Any("error", err))
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	l.wait.Reset()
	l.conn = newClientConn(raw, l.client.opts, &l.client.late, l.lost)
	event.PeerConnected.Log(l.client.opts.Log, slog.String("peer", l.host))
	return l.conn, nil
}

// lost logs the end of a connection.
func (l *link) lost(cause error) {
	event.PeerLost.Log(l.client.opts.Log, slog.String("peer", l.host), slog.Any("cause", cause))
}

// connect dials, secures and shakes hands within the handshake's limit.
func (l *link) connect(ctx context.Context) (net.Conn, error) {
	o := l.client.opts
	ctx, cancel := context.WithTimeout(ctx, o.HandshakeTimeout)
	defer cancel()
	raw, err := l.client.dial(ctx, "tcp", l.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	conn, err := greet(ctx, raw, o, l.host)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// greet secures a dialed connection and exchanges hellos.
func greet(ctx context.Context, raw net.Conn, o Options, host string) (net.Conn, error) {
	if err := setUserTimeout(raw, o.UserTimeout); err != nil {
		return nil, err
	}
	if err := handshakeDeadline(raw, o.HandshakeTimeout); err != nil {
		return nil, err
	}
	conn := raw
	if o.TLS != nil {
		config, err := o.TLS()
		if err != nil {
			return nil, errors.Wrap(err, "tls")
		}
		secure := tls.Client(raw, clientTLS(config, host))
		if err := secure.HandshakeContext(ctx); err != nil {
			return nil, errors.Wrap(err, "tls")
		}
		conn = secure
	}
	if err := writeHello(conn, o.Host, supportedVersions); err != nil {
		return nil, err
	}
	h, err := readHello(conn)
	if err != nil {
		return nil, err
	}
	if h.Host != host && !o.AcceptAnyHost {
		return nil, errors.Wrapf(ErrHandshake, "reached %q, expected %q", h.Host, host)
	}
	return conn, errors.Wrap(conn.SetDeadline(time.Time{}), "clear deadline")
}

// clientTLS makes the certificate name the peer.
func clientTLS(base *tls.Config, host string) *tls.Config {
	c := base.Clone()
	c.ServerName = host
	return c
}

// close ends the link and its connection.
func (l *link) close(cause error) {
	l.mu.Lock()
	l.closed = true
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		conn.close(cause)
	}
}
