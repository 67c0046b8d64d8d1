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

// link manages the connection to one peer and its redials.
type link struct {
	client  *Client
	host    string
	address string

	mu           sync.Mutex
	conn         *clientConn
	dialing      chan struct{}
	retryBackoff *backoff.ExponentialBackOff
	retryAt      time.Time
	lastErr      error
	closed       bool
}

// newLink returns a link that connects on first use.
func newLink(c *Client, host, address string) *link {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = c.opts.MinBackoff
	wait.MaxInterval = c.opts.MaxBackoff
	// The client adds its own jitter.
	wait.RandomizationFactor = 0
	return &link{client: c, host: host, address: address, retryBackoff: wait}
}

// get returns the open connection, dialing if there is none. One caller dials
// while the others wait. After a failure, calls fail until the backoff has
// passed.
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
			return nil, unreachable(ctx.Err())
		}
	}
}

// current returns the open connection, a channel that closes when the dial in
// progress ends, or the error that prevents a dial. If all are nil, it has
// marked a dial as in progress, and the caller must call dial.
func (l *link) current() (*clientConn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil, errors.Wrap(ErrUnreachable, "link closed")
	}
	if l.conn != nil && l.conn.usable() {
		return l.conn, nil, nil
	}
	if l.dialing != nil {
		return nil, l.dialing, nil
	}
	if time.Now().Before(l.retryAt) {
		return nil, nil, errors.Wrap(unreachable(l.lastErr), "in backoff after a failed dial")
	}
	l.dialing = make(chan struct{})
	return nil, nil, nil
}

// dial connects, stores the connection or the failure, and wakes the callers that
// wait for it.
func (l *link) dial(ctx context.Context) (*clientConn, error) {
	raw, err := l.connect(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if err == nil && l.closed {
		_ = raw.Close()
		err = errors.New("link closed")
	}
	if err != nil {
		l.lastErr = err
		l.retryAt = time.Now().Add(l.client.jitter(l.retryBackoff.NextBackOff()))
		event.PeerDialFailed.Log(l.client.opts.Log, slog.String("peer", l.host), slog.Any("error", err))
		return nil, unreachable(err)
	}
	l.retryBackoff.Reset()
	l.conn = newClientConn(raw, l.client.opts, &l.client.lateReplies, l.logConnectionLost)
	event.PeerConnected.Log(l.client.opts.Log, slog.String("peer", l.host))
	return l.conn, nil
}

// unreachable returns the ErrUnreachable or ErrDialTimeout of a failed dial.
func unreachable(cause error) error {
	if timeout := net.Error(nil); errors.As(cause, &timeout) && timeout.Timeout() {
		return errors.Wrap(ErrDialTimeout, cause.Error())
	}
	return errors.Wrap(ErrUnreachable, cause.Error())
}

// endBackoff lets the next caller dial at once.
func (l *link) endBackoff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retryAt = time.Time{}
}

func (l *link) logConnectionLost(cause error) {
	event.PeerLost.Log(l.client.opts.Log, slog.String("peer", l.host), slog.Any("cause", cause))
}

// connect dials and performs the handshake within HandshakeTimeout.
func (l *link) connect(ctx context.Context) (net.Conn, error) {
	o := l.client.opts
	ctx, cancel := context.WithTimeout(ctx, o.HandshakeTimeout)
	defer cancel()
	raw, err := l.client.opts.Dial(ctx, "tcp", l.address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", l.address)
	}
	conn, err := handshake(ctx, raw, o, l.host)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// handshake performs the TLS handshake, if enabled, and exchanges hellos.
func handshake(ctx context.Context, raw net.Conn, o Options, host string) (net.Conn, error) {
	if err := setUserTimeout(raw, o.UserTimeout); err != nil {
		return nil, err
	}
	if err := setHandshakeDeadline(raw, o.HandshakeTimeout); err != nil {
		return nil, err
	}
	conn := raw
	if o.TLS != nil {
		config, err := o.TLS()
		if err != nil {
			return nil, errors.Wrap(err, "TLS configuration")
		}
		secure := tls.Client(raw, clientTLS(config, host))
		if err := secure.HandshakeContext(ctx); err != nil {
			return nil, errors.Wrap(err, "TLS handshake")
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

// clientTLS returns a copy of base that verifies the peer's certificate
// against its host name.
func clientTLS(base *tls.Config, host string) *tls.Config {
	c := base.Clone()
	c.ServerName = host
	return c
}

// close closes the link and its connection. Later calls of get fail.
func (l *link) close(cause error) {
	l.mu.Lock()
	l.closed = true
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		conn.close(cause)
	}
}
