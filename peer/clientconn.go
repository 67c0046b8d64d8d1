package peer

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// clientConn is one open connection to a peer. Its reader and its writer run
// in goroutines of their own until it closes.
type clientConn struct {
	conn     net.Conn
	maxFrame int
	limit    int
	late     *atomic.Uint64
	queue    chan *call
	closed   chan struct{}
	// onClose is told why the connection ended.
	onClose func(error)

	mu sync.Mutex
	// nextID only rises, so an id is never used twice in a connection.
	nextID  uint64
	pending map[uint64]*call
	// leaving is set once the server said goodbye.
	leaving bool
	err     error
}

// newClientConn starts the reader and the writer of a connection whose
// handshake is over.
func newClientConn(conn net.Conn, o Options, late *atomic.Uint64, onClose func(error)) *clientConn {
	c := &clientConn{
		conn:     conn,
		maxFrame: o.MaxFrame,
		limit:    o.MaxInFlight,
		late:     late,
		queue:    make(chan *call, o.WriteQueue),
		closed:   make(chan struct{}),
		onClose:  onClose,
		pending:  map[uint64]*call{},
	}
	go c.readReplies()
	go c.writeRequests()
	return c
}

// open registers a new call; it fails when the connection is closed or full.
func (c *clientConn) open() (*call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, errors.Wrap(ErrUnreachable, c.err.Error())
	}
	if c.leaving {
		return nil, errors.Wrap(ErrUnreachable, "peer is shutting down")
	}
	if len(c.pending) >= c.limit {
		return nil, errors.Wrap(ErrBusy, "requests in flight")
	}
	c.nextID++
	ca := &call{id: c.nextID, done: make(chan answer, 1)}
	c.pending[ca.id] = ca
	return ca, nil
}

// retire forgets a call, so that a late reply to it is dropped.
func (c *clientConn) retire(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	over := c.leaving && len(c.pending) == 0
	c.mu.Unlock()
	if over {
		c.close(errors.New("peer shut down"))
	}
}

// leave takes the server's goodbye.
func (c *clientConn) leave() {
	c.mu.Lock()
	c.leaving = true
	over := len(c.pending) == 0
	c.mu.Unlock()
	if over {
		c.close(errors.New("peer shut down"))
	}
}

// usable reports whether new requests may be sent.
func (c *clientConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && !c.leaving
}

// enqueue hands a call's frame to the writer without waiting.
func (c *clientConn) enqueue(ca *call) error {
	select {
	case c.queue <- ca:
		return nil
	default:
		return errors.Wrap(ErrBusy, "write queue")
	}
}

// readReplies delivers replies until the stream ends or can't be trusted.
func (c *clientConn) readReplies() {
	r := newFrameReader(c.conn)
	for {
		body, err := readFrame(r, c.maxFrame)
		if err != nil {
			c.close(err)
			return
		}
		m, err := decodeMessage(body)
		if err != nil {
			c.close(err)
			return
		}
		switch m.Kind {
		case kindReply:
			c.deliver(m)
		case kindGoodbye:
			c.leave()
		default:
			c.close(errors.Wrap(ErrFrame, "not a reply"))
			return
		}
	}
}

// deliver hands a reply to its call, or counts it as late.
func (c *clientConn) deliver(m *message) {
	c.mu.Lock()
	ca := c.pending[m.ID]
	delete(c.pending, m.ID)
	c.mu.Unlock()
	if ca == nil {
		c.late.Add(1)
		return
	}
	ca.done <- answer{reply: m}
}

// writeRequests writes queued frames until the connection closes, as many as
// are queued with one call of the kernel.
func (c *clientConn) writeRequests() {
	var out []byte
	for {
		select {
		case <-c.closed:
			return
		case ca := <-c.queue:
			out = c.gather(out[:0], ca)
			if len(out) == 0 {
				continue
			}
			if _, err := c.conn.Write(out); err != nil {
				c.close(errors.Wrap(err, "write"))
				return
			}
		}
	}
}

// gather appends a call's frame and those queued behind it.
func (c *clientConn) gather(out []byte, ca *call) []byte {
	for {
		if ca.startWriting() {
			out = append(out, ca.frame...)
		}
		if len(out) >= gatherBytes {
			return out
		}
		select {
		case ca = <-c.queue:
		default:
			return out
		}
	}
}

// close ends the connection and every call in it.
func (c *clientConn) close(cause error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = errors.Wrapf(ErrClosed, "%v", cause)
	orphans := c.pending
	c.pending = nil
	close(c.closed)
	c.mu.Unlock()
	_ = c.conn.Close()
	c.onClose(cause)
	for _, ca := range orphans {
		ca.done <- answer{err: c.err}
	}
}
