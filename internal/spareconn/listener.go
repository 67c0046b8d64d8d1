// Package spareconn keeps connections open that a caller has established but not
// used yet.
//
// An HTTP client that needs a connection dials one and uses whichever becomes free
// first, so new connections often stay in its pool without a request. The header
// timeout of net/http runs from the accept: it closes such a connection within
// seconds, possibly while its first request is on the way. The caller then doesn't
// learn whether the request ran, and clients don't resend a request that failed on
// a new connection.
package spareconn

import (
	"net"
	"time"
)

// Limits are the time limits of a connection's first request.
type Limits struct {
	// Idle is how long the first byte may take after the accept.
	Idle time.Duration
	// Header is how long the whole header may take after its first byte.
	Header time.Duration
}

// listener is a net.Listener whose connections have Limits.
type listener struct {
	net.Listener
	limits Limits
}

// NewListener returns a listener whose connections keep to limits until the first
// byte has been read, even if the server sets an earlier read deadline.
func NewListener(l net.Listener, limits Limits) net.Listener {
	return &listener{l, limits}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, header: l.limits.Header, spareUntil: time.Now().Add(l.limits.Idle)}, nil
}
