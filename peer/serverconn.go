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

// goodbyePatience is how long a peer has to close its connection once it was
// asked to.
const goodbyePatience = 2 * time.Second

// serverConn is one connection from a peer.
type serverConn struct {
	server *Server
	conn   net.Conn
	from   string
	// slots bounds the handlers that run at once.
	slots chan struct{}
	// replies are frames for the writer.
	replies chan []byte
	// handlers counts those that may still send a reply.
	handlers sync.WaitGroup
	// unsent counts the replies that are queued or being written.
	unsent atomic.Int64
	// broken closes with the connection.
	broken   chan struct{}
	breakOne sync.Once
}

// newServerConn returns a connection whose handshake is over.
func newServerConn(s *Server, conn net.Conn, from string) *serverConn {
	return &serverConn{
		server:  s,
		conn:    conn,
		from:    from,
		slots:   make(chan struct{}, s.opts.MaxInFlight),
		replies: make(chan []byte, s.opts.WriteQueue),
		broken:  make(chan struct{}),
	}
}

// run serves the connection until it ends, and waits for its handlers.
func (c *serverConn) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeReplies()
	}()
	err := c.readRequests(ctx)
	// Nobody reads the answers any more.
	cancel()
	c.abort()
	c.handlers.Wait()
	<-written
	return err
}

// farewell asks the peer to send nothing new and to close the connection. One
// that does not, because its process is paused, is not waited for once nothing
// of it is in flight here.
func (c *serverConn) farewell() {
	c.send(&message{Kind: kindGoodbye})
	patience := time.NewTicker(goodbyePatience)
	defer patience.Stop()
	for {
		select {
		case <-c.broken:
			return
		case <-patience.C:
		}
		if len(c.slots) == 0 && c.unsent.Load() == 0 {
			c.abort()
			return
		}
	}
}

// abort closes the connection now.
func (c *serverConn) abort() {
	c.breakOne.Do(func() {
		close(c.broken)
		_ = c.conn.Close()
	})
}

// readRequests starts handlers until the stream ends or can't be trusted.
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
			return errors.Wrap(ErrFrame, "not a request")
		}
		c.dispatch(ctx, m)
	}
}

// dispatch runs the handler of a request, or refuses it unprocessed.
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
	case c.slots <- struct{}{}:
	default:
		c.refuse(m, "too many requests in flight")
		return
	}
	c.handlers.Add(1)
	go func() {
		defer c.handlers.Done()
		defer func() { <-c.slots }()
		c.handle(ctx, h, m)
	}()
}

// handle calls one handler and sends its reply.
func (c *serverConn) handle(ctx context.Context, h Handler, m *message) {
	if m.RemainingMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(m.RemainingMS)*time.Millisecond)
		defer cancel()
	}
	decode := func(into any) error { return errors.Wrap(msgpack.Unmarshal(m.Body, into), "decode request") }
	value, err := h(ctx, c.from, decode)
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

// refuse answers that no handler was called.
func (c *serverConn) refuse(m *message, reason string) {
	c.send(&message{Kind: kindReply, ID: m.ID, Status: statusRefused, Error: reason})
}

// send queues a reply; it waits while the queue is full, which holds back the
// peer's further requests.
func (c *serverConn) send(m *message) {
	frame, err := encodeMessage(m, c.server.opts.MaxFrame)
	if err != nil {
		frame, err = encodeMessage(&message{Kind: kindReply, ID: m.ID, Status: statusFailed, Error: err.Error()}, c.server.opts.MaxFrame)
		if err != nil {
			c.abort()
			return
		}
	}
	c.unsent.Add(1)
	select {
	case c.replies <- frame:
	case <-c.broken:
	}
}

// writeReplies writes queued replies until the connection breaks, as many as
// are queued with one call of the kernel.
func (c *serverConn) writeReplies() {
	var out []byte
	for {
		select {
		case <-c.broken:
			return
		case frame := <-c.replies:
			var frames int64
			out, frames = c.gather(out[:0], frame)
			if _, err := c.conn.Write(out); err != nil {
				c.abort()
				return
			}
			c.unsent.Add(-frames)
		}
	}
}

// gather appends a frame and those queued behind it, and counts them.
func (c *serverConn) gather(out, frame []byte) ([]byte, int64) {
	for n := int64(1); ; n++ {
		out = append(out, frame...)
		if len(out) >= gatherBytes {
			return out, n
		}
		select {
		case frame = <-c.replies:
		default:
			return out, n
		}
	}
}
