package peer

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// clientConn is one open connection to a peer. Its reader and writer
// goroutines run until it closes.
type clientConn struct {
	conn        net.Conn
	maxFrame    int
	maxInFlight int
	lateReplies *atomic.Uint64
	queue       chan *call
	closed      chan struct{}
	// onClose is called with the reason when the connection closes.
	onClose func(error)

	mu sync.Mutex
	// nextID only increases, so that IDs are unique within a connection.
	nextID  uint64
	pending map[uint64]*call
	// draining is set once the server sent a close notice.
	draining bool
	err      error
}

// newClientConn starts the reader and the writer of a connection after its
// handshake.
func newClientConn(conn net.Conn, o Options, late *atomic.Uint64, onClose func(error)) *clientConn {
	c := &clientConn{
		conn:        conn,
		maxFrame:    o.MaxFrame,
		maxInFlight: o.MaxInFlight,
		lateReplies: late,
		queue:       make(chan *call, o.WriteQueue),
		closed:      make(chan struct{}),
		onClose:     onClose,
		pending:     map[uint64]*call{},
	}
	go c.readReplies()
	go c.writeRequests()
	return c
}

// register adds a new call. It fails when the connection is closed, is
// draining or has too many requests in flight.
func (c *clientConn) register() (*call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, errors.Wrap(ErrUnreachable, c.err.Error())
	}
	if c.draining {
		return nil, errors.Wrap(ErrUnreachable, "peer is shutting down")
	}
	if len(c.pending) >= c.maxInFlight {
		return nil, errors.Wrapf(ErrBusy, "%d requests in flight, limit %d", len(c.pending), c.maxInFlight)
	}
	c.nextID++
	ca := &call{id: c.nextID, done: make(chan answer, 1)}
	c.pending[ca.id] = ca
	return ca, nil
}

// unregister removes a call, so that a late reply to it is dropped. It closes
// a draining connection after its last call.
func (c *clientConn) unregister(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	drained := c.draining && len(c.pending) == 0
	c.mu.Unlock()
	if drained {
		c.close(errors.New("peer shut down"))
	}
}

// handleCloseNotice stops new requests and closes the connection once none is
// pending.
func (c *clientConn) handleCloseNotice() {
	c.mu.Lock()
	c.draining = true
	drained := len(c.pending) == 0
	c.mu.Unlock()
	if drained {
		c.close(errors.New("peer shut down"))
	}
}

// usable reports whether new requests may be sent.
func (c *clientConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && !c.draining
}

// enqueue queues a call's frame for the writer. It fails with ErrBusy instead
// of blocking.
func (c *clientConn) enqueue(ca *call) error {
	select {
	case c.queue <- ca:
		return nil
	default:
		return errors.Wrapf(ErrBusy, "write queue holds %d frames", cap(c.queue))
	}
}

// readReplies delivers replies until the connection ends or an invalid frame
// arrives.
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
		case kindCloseNotice:
			c.handleCloseNotice()
		default:
			c.close(errors.Wrapf(ErrFrame, "message kind %d, expected a reply", m.Kind))
			return
		}
	}
}

// deliver passes a reply to its call, or counts it as late.
func (c *clientConn) deliver(m *message) {
	c.mu.Lock()
	ca := c.pending[m.ID]
	delete(c.pending, m.ID)
	c.mu.Unlock()
	if ca == nil {
		c.lateReplies.Add(1)
		return
	}
	ca.done <- answer{reply: m}
}

// writeRequests writes queued frames until the connection closes. It combines
// queued frames into one write.
func (c *clientConn) writeRequests() {
	var out []byte
	for {
		select {
		case <-c.closed:
			return
		case ca := <-c.queue:
			out = c.appendBatch(out[:0], ca)
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

// appendBatch appends the call's frame and queued frames up to maxBatchBytes,
// skipping abandoned calls.
func (c *clientConn) appendBatch(out []byte, ca *call) []byte {
	for {
		if ca.startWriting() {
			out = append(out, ca.frame...)
		}
		if len(out) >= maxBatchBytes {
			return out
		}
		select {
		case ca = <-c.queue:
		default:
			return out
		}
	}
}

// close closes the connection, calls onClose and makes the pending calls fail
// with ErrClosed. Only the first call has an effect.
func (c *clientConn) close(cause error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = errors.Wrapf(ErrClosed, "%v", cause)
	pending := c.pending
	c.pending = nil
	close(c.closed)
	c.mu.Unlock()
	_ = c.conn.Close()
	c.onClose(cause)
	for _, ca := range pending {
		ca.done <- answer{err: c.err}
	}
}
