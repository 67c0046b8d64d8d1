package spareconn

import (
	"net"
	"sync"
	"time"
)

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	header time.Duration

	mu sync.Mutex
	// spareUntil is until when the first byte is awaited; zero once it was read.
	spareUntil time.Time
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline implements net.Conn. Until the first byte was read, a deadline in
// the future is extended to the end of the idle time. One that has passed takes
// effect, so that a server can end the read of an unused connection.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.After(time.Now()) && t.Before(c.spareUntil) {
		t = c.spareUntil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if deadlineErr := c.startHeader(); err == nil {
		err = deadlineErr
	}
	return n, err
}

// startHeader sets the deadline of the first request's header when its first byte
// was read.
func (c *Conn) startHeader() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.spareUntil.IsZero() {
		return nil
	}
	c.spareUntil = time.Time{}
	return c.Conn.SetReadDeadline(time.Now().Add(c.header))
}

// CloseWrite shuts down the writing side if the wrapped connection can do so.
// net/http uses it so that the caller can read the last response before the
// connection is closed.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
