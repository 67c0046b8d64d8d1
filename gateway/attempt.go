package gateway

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

var (
	// errNotPermitted is returned by writes that the attempt doesn't permit.
	errNotPermitted = errors.New("gateway: write not permitted")
	// errAlreadySent is returned when a request is written to a second
	// connection: net/http repeats requests that it takes to be idempotent.
	errAlreadySent = errors.New("gateway: request was already sent")
)

// attempt is one attempt to send a request. It tracks whether bytes were
// written on the connection itself, independently of what net/http reports.
type attempt struct {
	// permit is called just before the first byte is written.
	permit func() bool
	// written is called when the whole request has been written.
	written func()

	mu        sync.Mutex
	end       requestEnd
	conn      *endpointConn // connection that the request was written to
	denied    bool          // permit returned false
	cancelled bool          // cancelled before the first byte
	sent      bool          // a byte was written, or may have been
}

// startWrite returns an error unless c may write bytes of the request. The first
// time it calls permit and, if that returns true, marks the request as sent.
func (a *attempt) startWrite(c *endpointConn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.conn == c:
		return nil
	case a.conn != nil:
		return errAlreadySent
	case a.cancelled || a.denied:
		return errNotPermitted
	case !a.permit():
		a.denied = true
		return errNotPermitted
	}
	a.conn = c
	a.sent = true
	return nil
}

// addWritten adds written bytes and calls written once the request is complete.
func (a *attempt) addWritten(b []byte) {
	a.mu.Lock()
	complete := a.end.add(b)
	a.mu.Unlock()
	if complete {
		a.written()
	}
}

// markUnsent records that the first write wrote no byte.
func (a *attempt) markUnsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = false
}

// cancel prevents the request from being written. It returns false if bytes
// may have been written already.
func (a *attempt) cancel() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	return !a.sent
}

// notPermitted reports whether permit returned false.
func (a *attempt) notPermitted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.denied
}

// endpointConn is a connection to an endpoint. Writes fail unless its current
// attempt permits them.
type endpointConn struct {
	net.Conn
	mu      sync.Mutex
	attempt *attempt
	writing bool // bytes of the attempt have been written
}

// setAttempt sets the attempt that the next bytes belong to. net/http uses a
// connection for one request at a time.
func (c *endpointConn) setAttempt(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt = a
	c.writing = false
}

// Write implements net.Conn.
func (c *endpointConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	a, writing := c.attempt, c.writing
	c.mu.Unlock()
	if a == nil {
		return 0, errNotPermitted
	}
	if err := a.startWrite(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	a.addWritten(b[:n])
	if n == 0 && err != nil && !writing {
		a.markUnsent()
		return n, err
	}
	c.mu.Lock()
	c.writing = true
	c.mu.Unlock()
	return n, err
}
