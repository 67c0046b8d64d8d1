package ingress

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// phase is what a connection is waiting for.
type phase uint8

const (
	// idle connections wait for the first byte of a request.
	idle phase = iota
	// header and body wait for the rest of a request.
	header
	body
	// serving waits for the host.
	serving
	// responding waits until the client reads a response.
	responding
)

// Conn is a caller's connection with a place in a Budget. net/http reads and writes it
// from several goroutines.
type Conn struct {
	net.Conn
	budget *Budget
	// refusal is the response to a request whose header wasn't read whole, as text.
	refusal func(Cause) []byte
	once    sync.Once

	// The fields below are guarded by the budget's lock.
	phase phase
	// begun is when the phase began, progress when the client last made progress, and
	// unmarked how many bytes it has sent since.
	begun, progress time.Time
	unmarked        int
	// received counts the bytes of the header, or of the body.
	received int64
	charged  int64
	// lost is why the connection has lost its place, empty if it hasn't.
	lost Cause
	// place is the connection's element in a list of the budget, nil if it is in none.
	place *list.Element
	in    *list.List
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// enter begins a phase.
func (c *Conn) enter(p phase, now time.Time) {
	c.phase, c.begun, c.received = p, now, 0
	c.advance(now)
}

// advance records progress of the client.
func (c *Conn) advance(now time.Time) {
	c.progress, c.unmarked = now, 0
	c.leave()
	switch {
	case c.lost != "" || c.phase == serving:
	case c.phase == idle:
		c.in = c.budget.idle
		c.place = c.in.PushBack(c)
	default:
		c.in = c.budget.requests
		c.place = c.in.PushBack(c)
	}
}

// leave removes the connection from the lists.
func (c *Conn) leave() {
	if c.place != nil {
		c.in.Remove(c.place)
		c.place = nil
	}
}

// lose takes the connection's place: what it waits for ends at once. The refusal of a
// request that wasn't read whole can still be written.
func (c *Conn) lose(cause Cause) {
	c.lost = cause
	c.leave()
	now := time.Now()
	_ = c.Conn.SetReadDeadline(now) // fails only on a closed connection
	if c.phase == responding {
		_ = c.SetWriteDeadline(now)
	}
	c.budget.refused(cause)
}

// Read implements net.Conn. It ends the connection if the header is too large or there is
// no room for it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	cause := c.count(n)
	if cause == "" {
		return n, err
	}
	c.respond(cause)
	return 0, &RefusedError{cause}
}

// count counts n bytes that were read. It returns why the connection is to be closed with
// a response of its own, empty if it isn't.
func (c *Conn) count(n int) Cause {
	now := time.Now()
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.lost != "" {
		if c.phase == header {
			return c.lost
		}
		return ""
	}
	if n == 0 {
		return ""
	}
	if c.phase == idle {
		if !c.begin(header, now) {
			return CauseMemory
		}
		_ = c.Conn.SetReadDeadline(now.Add(b.request.Load().HeaderTime)) // fails only on a closed connection
	}
	if c.unmarked += n; c.unmarked >= progressBytes {
		c.advance(now)
	}
	if c.phase != header {
		return ""
	}
	return c.countHeader(int64(n), now)
}

// begin begins a request and reports whether there is room for it.
func (c *Conn) begin(p phase, now time.Time) bool {
	if !c.budget.grow(c, requestBytes, c.budget.limits.Bytes, now) {
		c.budget.refused(CauseMemory)
		return false
	}
	c.enter(p, now)
	return true
}

// countHeader counts n bytes of a header. The server reads ahead up to freeBytes, which
// may belong to the body.
func (c *Conn) countHeader(n int64, now time.Time) Cause {
	before := max(c.received, freeBytes)
	c.received += n
	if c.received > int64(c.budget.request.Load().HeaderBytes)+freeBytes {
		c.budget.refused(CauseHeaderSize)
		return CauseHeaderSize
	}
	if more := c.received - before; more > 0 && !c.budget.grow(c, headerFactor*more, c.budget.limits.large(), now) {
		c.budget.refused(CauseMemory)
		return CauseMemory
	}
	return ""
}

// respond writes the response to a request that wasn't read whole. The caller may have
// disconnected, and no longer than refusalTime is waited for it.
func (c *Conn) respond(cause Cause) {
	if c.refusal == nil {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = c.Conn.Write(c.refusal(cause))
}

// refusalTime bounds the write of a refusal, which fits into the send buffer.
const refusalTime = 50 * time.Millisecond

// Write implements net.Conn. It fails if the client doesn't read for responseTime.
func (c *Conn) Write(p []byte) (int, error) {
	before := c.beginWrite()
	n, err := c.Conn.Write(p)
	c.endWrite(before)
	if e, ok := err.(net.Error); ok && e.Timeout() && !c.hasLost() { //nolint:errorlint // errors of net aren't wrapped
		c.budget.refused(CauseResponseTime)
	}
	return n, err
}

// beginWrite makes the connection wait for the client, and returns the phase before.
func (c *Conn) beginWrite() phase {
	now := time.Now()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	before := c.phase
	limit := responseTime
	if c.lost != "" {
		limit = refusalTime
	}
	_ = c.SetWriteDeadline(now.Add(limit)) // a failure shows at the write
	if before == serving {
		c.phase = responding
		c.advance(now)
	}
	return before
}

// endWrite continues the phase before a write.
func (c *Conn) endWrite(before phase) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if before == serving && c.phase == responding {
		c.phase = serving
		c.advance(time.Now())
	}
}

// hasLost reports whether the connection has lost its place.
func (c *Conn) hasLost() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.lost != ""
}

// SetReadDeadline implements net.Conn. A deadline in the future becomes that of the
// phase, which follows the limits in force, and a connection that has lost its place
// keeps the one that has passed.
func (c *Conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	switch r := c.budget.request.Load(); {
	case c.lost != "":
		t = now
	case !t.IsZero() && !t.After(now):
	case c.phase == idle:
		t = c.begun.Add(r.IdleTime)
	case c.phase == header:
		t = c.begun.Add(r.HeaderTime)
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite shuts down the writing side if the wrapped connection can do so.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. The place is free once the descriptor is.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.budget.release(c) })
	return err
}
