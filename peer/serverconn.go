package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// closeNoticeTimeout is how long a peer may take to close its connection after
// a close notice.
const closeNoticeTimeout = 2 * time.Second

// serverConn is one connection from a peer.
type serverConn struct {
	server   *Server
	conn     net.Conn
	peerName string
	// handlerSlots limits concurrent handlers.
	handlerSlots chan struct{}
	// replies are the frames queued for the writer.
	replies chan []byte
	// handlers counts running handlers.
	handlers sync.WaitGroup
	// unsent counts the replies that are queued or being written.
	unsent atomic.Int64
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once
}

// newServerConn returns a connection after its handshake.
func newServerConn(s *Server, conn net.Conn, from string) *serverConn {
	return &serverConn{
		server:       s,
		conn:         conn,
		peerName:     from,
		handlerSlots: make(chan struct{}, s.opts.MaxInFlight),
		replies:      make(chan []byte, s.opts.WriteQueue),
		closed:       make(chan struct{}),
	}
}

// run serves the connection until it closes. It then cancels its handlers, waits
// for them and returns the reason for the close.
func (c *serverConn) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeReplies()
	}()
	err := c.readRequests(ctx)
	// The connection has failed, so no reply can be sent.
	cancel()
	c.disconnect()
	c.handlers.Wait()
	<-written
	return err
}

// sendCloseNotice asks the peer to send no new requests and to close the
// connection. It closes the connection itself if the peer, for example a
// paused process, doesn't do so although no request is in flight.
func (c *serverConn) sendCloseNotice() {
	c.send(&message{Kind: kindCloseNotice})
	ticker := time.NewTicker(closeNoticeTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
		}
		if len(c.handlerSlots) == 0 && c.unsent.Load() == 0 {
			c.disconnect()
			return
		}
	}
}

func (c *serverConn) disconnect() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.conn.Close()
	})
}

// readRequests starts handlers until the connection ends or an invalid frame
// arrives.
func (c *serverConn) readRequests(ctx context.Context) error {
	r := newFrameReader(c.conn)
	for {
		body, err := readFrame(r, c.server.opts.MaxFrame)
		if err != nil {
			return err
		}
		m, err := decodeMessage(body)
		if err != nil {
			return err
		}
		if m.Kind != kindRequest {
			return errors.Wrapf(ErrFrame, "message kind %d, expected a request", m.Kind)
		}
		c.dispatch(ctx, m)
	}
}

// dispatch starts the handler of a request in a goroutine. It refuses the request
// if the method is unknown, the server is stopping or no handler slot is free.
func (c *serverConn) dispatch(ctx context.Context, m *message) {
	h := c.server.handler(m.Method)
	if h == nil {
		c.refuse(m, "unknown method")
		return
	}
	if c.server.stopping() {
		c.refuse(m, "shutting down")
		return
	}
	select {
	case c.handlerSlots <- struct{}{}:
	default:
		c.refuse(m, "too many requests in flight")
		return
	}
	c.handlers.Add(1)
	go func() {
		defer c.handlers.Done()
		defer func() { <-c.handlerSlots }()
		c.handle(ctx, h, m)
	}()
}

// handle runs a handler and sends its reply.
func (c *serverConn) handle(ctx context.Context, h Handler, m *message) {
	if m.RemainingMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(m.RemainingMS)*time.Millisecond)
		defer cancel()
	}
	decode := func(into any) error { return errors.Wrap(msgpack.Unmarshal(m.Body, into), "decode request") }
	value, err := h(ctx, c.peerName, decode)
	if err != nil {
		c.send(&message{Kind: kindReply, ID: m.ID, Status: statusFailed, Error: err.Error()})
		return
	}
	body, err := msgpack.Marshal(value)
	if err != nil {
		c.send(&message{Kind: kindReply, ID: m.ID, Status: statusFailed, Error: err.Error()})
		return
	}
	c.send(&message{Kind: kindReply, ID: m.ID, Status: statusAnswered, Body: body})
}

// refuse replies that no handler was run.
func (c *serverConn) refuse(m *message, reason string) {
	c.send(&message{Kind: kindReply, ID: m.ID, Status: statusRefused, Error: reason})
}

// send queues a message. It blocks while the queue is full, which also stops the
// reading of further requests when it is called for a refusal. A reply that is too
// large is replaced by an error.
func (c *serverConn) send(m *message) {
	frame, err := encodeMessage(m, c.server.opts.MaxFrame)
	if err != nil {
		frame, err = encodeMessage(&message{Kind: kindReply, ID: m.ID, Status: statusFailed, Error: err.Error()}, c.server.opts.MaxFrame)
		if err != nil {
			c.disconnect()
			return
		}
	}
	c.unsent.Add(1)
	select {
	case c.replies <- frame:
	case <-c.closed:
	}
}

// writeReplies writes queued replies until the connection closes. It combines
// queued frames into one write.
func (c *serverConn) writeReplies() {
	var out []byte
	for {
		select {
		case <-c.closed:
			return
		case frame := <-c.replies:
			var frames int64
			out, frames = c.appendBatch(out[:0], frame)
			if _, err := c.conn.Write(out); err != nil {
				c.disconnect()
				return
			}
			c.unsent.Add(-frames)
		}
	}
}

// appendBatch appends frame and queued frames up to maxBatchBytes, and returns
// the number of frames.
func (c *serverConn) appendBatch(out, frame []byte) ([]byte, int64) {
	for n := int64(1); ; n++ {
		out = append(out, frame...)
		if len(out) >= maxBatchBytes {
			return out, n
		}
		select {
		case frame = <-c.replies:
		default:
			return out, n
		}
	}
}
