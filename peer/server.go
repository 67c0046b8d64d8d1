package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/event"
)

// Admit reports whether a host of this name may connect from this address.
type Admit func(name string, remote netip.Addr) bool

// Server answers requests of peers. It implements Mux.
type Server struct {
	opts     Options
	admit    Admit
	handlers map[Method]Handler

	stop  chan struct{}
	conns sync.WaitGroup

	mu      sync.Mutex
	stopped bool
	// open holds every connection, with nil until its handshake is over.
	open     map[net.Conn]*serverConn
	listener net.Listener
}

// NewServer returns a server that accepts only the peers that admit allows.
func NewServer(o Options, admit Admit) *Server {
	return &Server{
		opts:     o.withDefaults(),
		admit:    admit,
		handlers: map[Method]Handler{},
		stop:     make(chan struct{}),
		open:     map[net.Conn]*serverConn{},
	}
}

// Handle implements Mux. It must not be called once Serve has begun.
func (s *Server) Handle(method Method, h Handler) {
	if _, dup := s.handlers[method]; dup {
		panic("peer: method registered twice: " + string(method))
	}
	s.handlers[method] = h
}

// handler returns the handler of a method, nil if there is none.
func (s *Server) handler(m Method) Handler { return s.handlers[m] }

// stopping reports whether Shutdown was called.
func (s *Server) stopping() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// Serve accepts connections until the listener closes or Shutdown is called,
// for which it returns nil. The context is that of every handler.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if !s.listen(ln) {
		_ = ln.Close()
		return nil
	}
	for {
		raw, err := ln.Accept()
		if err != nil {
			if s.stopping() {
				return nil
			}
			return errors.Wrap(err, "accept")
		}
		if !s.track(raw) {
			_ = raw.Close()
			return nil
		}
		go s.serveConn(ctx, raw)
	}
}

// listen keeps the listener for Shutdown; false after Shutdown.
func (s *Server) listen(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = ln
	return !s.stopped
}

// track counts a connection; false after Shutdown.
func (s *Server) track(raw net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.open[raw] = nil
	s.conns.Add(1)
	return true
}

// serveConn runs one connection from handshake to end.
func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer s.conns.Done()
	defer func() {
		_ = raw.Close()
		s.mu.Lock()
		delete(s.open, raw)
		s.mu.Unlock()
	}()
	conn, from, err := s.welcome(ctx, raw)
	if err != nil {
		event.PeerRefused.Log(s.opts.Log, slog.String("remote", raw.RemoteAddr().String()), slog.Any("error", err))
		return
	}
	event.PeerAccepted.Log(s.opts.Log, slog.String("peer", from))
	c := newServerConn(s, conn, from)
	if !s.greeted(raw, c) {
		return
	}
	err = c.run(ctx)
	event.PeerDisconnected.Log(s.opts.Log, slog.String("peer", from), slog.Any("cause", err))
}

// greeted notes that a handshake is over; false after Shutdown.
func (s *Server) greeted(raw net.Conn, c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[raw] = c
	return !s.stopped
}

// welcome secures an accepted connection, exchanges hellos and checks that the
// peer may connect.
func (s *Server) welcome(ctx context.Context, raw net.Conn) (net.Conn, string, error) {
	if err := setUserTimeout(raw, s.opts.UserTimeout); err != nil {
		return nil, "", err
	}
	if err := handshakeDeadline(raw, s.opts.HandshakeTimeout); err != nil {
		return nil, "", err
	}
	conn := raw
	if s.opts.TLS != nil {
		config, err := s.opts.TLS()
		if err != nil {
			return nil, "", errors.Wrap(err, "tls")
		}
		secure := tls.Server(raw, config)
		if err := secure.HandshakeContext(ctx); err != nil {
			return nil, "", errors.Wrap(err, "tls")
		}
		conn = secure
	}
	h, err := readHello(conn)
	if err != nil {
		return nil, "", err
	}
	if err := certifies(conn, h.Host); err != nil {
		return nil, "", err
	}
	if !s.admit(h.Host, remoteAddr(raw)) {
		return nil, "", errors.Wrapf(ErrHandshake, "host %q not known", h.Host)
	}
	if err := writeHello(conn, s.opts.Host, supportedVersions); err != nil {
		return nil, "", err
	}
	return conn, h.Host, errors.Wrap(conn.SetDeadline(time.Time{}), "clear deadline")
}

// remoteAddr returns the IP address of the other side, the zero Addr if it
// has none.
func remoteAddr(conn net.Conn) netip.Addr {
	ap, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}

// Shutdown stops accepting connections and requests, asks the peers to close
// theirs, and waits for the handlers in flight and their answers. When the
// context ends first the rest is cut off and its error returned.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, c := range s.beginStop() {
		go c.farewell()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.conns.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.closeAll()
		return errors.Wrap(ctx.Err(), "peer server shutdown")
	}
}

// beginStop ends the accept loop and every handshake under way, and returns
// the connections in use.
func (s *Server) beginStop() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	s.stopped = true
	close(s.stop)
	if s.listener != nil {
		_ = s.listener.Close()
	}
	var inUse []*serverConn
	for raw, c := range s.open {
		if c == nil {
			_ = raw.Close()
			continue
		}
		inUse = append(inUse, c)
	}
	return inUse
}

// closeAll cuts every connection off.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		_ = conn.Close()
	}
}
