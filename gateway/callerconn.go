package gateway

import (
	"bytes"
	"net"
	"sync"
)

// callerConnKey is the context key of a request's callerConn.
type callerConnKey struct{}

// callerConn is a connection of a caller. It inspects the raw header of each
// request, because net/http drops a Content-Length that comes with a
// Transfer-Encoding.
type callerConn struct {
	net.Conn
	closed func()
	once   sync.Once

	mu             sync.Mutex
	header         []byte
	headerComplete bool // header holds the complete header
}

var headerEnd = []byte("\r\n\r\n")

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headerComplete {
		c.header = append(c.header, p[:n]...)
		c.headerComplete = len(c.header) > maxRequestHeader || bytes.Contains(c.header, headerEnd)
	}
	return n, err
}

// resetHeader starts the inspection of the next request's header.
func (c *callerConn) resetHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header = nil // it isn't kept between requests
	c.headerComplete = false
}

// hasBothLengths reports whether the header has both Content-Length and
// Transfer-Encoding.
func (c *callerConn) hasBothLengths() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, _, _ := bytes.Cut(c.header, headerEnd)
	return hasField(head, "content-length") && hasField(head, "transfer-encoding")
}

// hasField reports whether a header has the field name, which must be in lower
// case.
func hasField(head []byte, name string) bool {
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		field, _, ok := bytes.Cut(line, []byte(":"))
		if ok && bytes.EqualFold(bytes.TrimSpace(field), []byte(name)) {
			return true
		}
	}
	return false
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}
