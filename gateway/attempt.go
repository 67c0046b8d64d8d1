package gateway

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

var (
	// errNotPermitted makes a connection refuse the first byte of a request.
	errNotPermitted = errors.New("gateway: write not permitted")
	// errTwice makes a connection refuse a request that went out on another:
	// net/http repeats requests that it believes to be idempotent by itself.
	errTwice = errors.New("gateway: request was already sent")
)

// attempt is one try to send a request. It stands between net/http and the
// connection, so that what it says of bytes written is true whatever net/http
// does.
type attempt struct {
	// permit is asked just before the first byte.
	permit func() bool

	mu        sync.Mutex
	conn      *endpointConn // the one that the request was written to
	refused   bool          // permit said no
	cancelled bool          // the caller gave up before the first byte
	sent      bool          // a byte was written, or may have been
}

// begin reports whether c may write bytes of the request.
func (a *attempt) begin(c *endpointConn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.conn == c:
		return nil
	case a.conn != nil:
		return errTwice
	case a.cancelled || a.refused:
		return errNotPermitted
	case !a.permit():
		a.refused = true
		return errNotPermitted
	}
	a.conn = c
	a.sent = true
	return nil
}

// nothingWritten notes that the first write of c took no byte.
func (a *attempt) nothingWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = false
}

// cancel keeps the request from being written, and reports whether it had
// not been: then it never runs.
func (a *attempt) cancel() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	return !a.sent
}

// wasRefused reports whether the request was not permitted.
func (a *attempt) wasRefused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused
}

// endpointConn is a connection to an endpoint. It writes only on behalf of
// the attempt that it is armed with.
type endpointConn struct {
	net.Conn
	mu      sync.Mutex
	attempt *attempt
	begun   bool // bytes of the attempt were written
}

// arm ties the bytes written from now on to an attempt. net/http uses a
// connection for one request at a time.
func (c *endpointConn) arm(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt = a
	c.begun = false
}

// Write implements net.Conn.
func (c *endpointConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	a, begun := c.attempt, c.begun
	c.mu.Unlock()
	if a == nil {
		return 0, errNotPermitted
	}
	if err := a.begin(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil && !begun {
		a.nothingWritten()
		return n, err
	}
	c.mu.Lock()
	c.begun = true
	c.mu.Unlock()
	return n, err
}
