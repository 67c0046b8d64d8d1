package gateway

import (
	"bytes"
	"net"
	"sync"
)

// callerConnKey finds a request's callerConn in its context.
type callerConnKey struct{}

// callerConn is a connection of a caller. It looks at the bytes of each
// request's header, since net/http hides a Content-Length that comes together
// with a Transfer-Encoding.
type callerConn struct {
	net.Conn
	closed func()
	once   sync.Once

	mu     sync.Mutex
	header []byte
	whole  bool // header holds the whole header
}

var headerEnd = []byte("\r\n\r\n")

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.whole {
		c.header = append(c.header, p[:n]...)
		c.whole = len(c.header) > maxRequestHeader || bytes.Contains(c.header, headerEnd)
	}
	return n, err
}

// nextHeader begins the look at the next request's header.
func (c *callerConn) nextHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header = c.header[:0]
	c.whole = false
}

// twoLengths reports whether the header has both kinds of body length.
func (c *callerConn) twoLengths() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, _, _ := bytes.Cut(c.header, headerEnd)
	return hasField(head, "content-length") && hasField(head, "transfer-encoding")
}

// hasField reports whether a header has a field of the lower-case name.
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
