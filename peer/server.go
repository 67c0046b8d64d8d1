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

// Server handles requests of peers. It implements Mux.
type Server struct {
	opts     Options
	admit    Admit
	handlers map[Method]Handler

	stopCh chan struct{}
	connWG sync.WaitGroup

	mu      sync.Mutex
	stopped bool
	// connections holds all open connections; the value is nil during the
	// handshake.
	connections map[net.Conn]*serverConn
	listener    net.Listener
}

// NewServer returns a server that accepts the peers that admit allows.
func NewServer(o Options, admit Admit) *Server {
	return &Server{
		opts:        o.withDefaults(),
		admit:       admit,
		handlers:    map[Method]Handler{},
		stopCh:      make(chan struct{}),
		connections: map[net.Conn]*serverConn{},
	}
}

// Handle implements Mux. It must not be called after Serve.
func (s *Server) Handle(method Method, h Handler) {
	if _, dup := s.handlers[method]; dup {
		panic("peer: method registered twice: " + string(method))
	}
	s.handlers[method] = h
}

func (s *Server) handler(m Method) Handler { return s.handlers[m] }

// stopping reports whether Shutdown was called.
func (s *Server) stopping() bool {
	select {
	case <-s.stopCh:
		return true
	default:
		return false
	}
}

// Serve accepts connections until the listener closes or Shutdown is called,
// in which case it returns nil. Handlers run with a context derived from ctx.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if !s.setListener(ln) {
		_ = ln.Close()
		return nil
	}
	for {
		raw, err := ln.Accept()
		if err != nil {
			if s.stopping() {
				return nil
			}
			return errors.Wrap(err, "accept peer connection")
		}
		if !s.track(raw) {
			_ = raw.Close()
			return nil
		}
		go s.serveConn(ctx, raw)
	}
}

// setListener stores the listener, which Shutdown closes. It returns false after
// Shutdown.
func (s *Server) setListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = ln
	return !s.stopped
}

// track registers a connection. It returns false after Shutdown.
func (s *Server) track(raw net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.connections[raw] = nil
	s.connWG.Add(1)
	return true
}

// serveConn performs the handshake and serves the connection until it closes.
func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer s.connWG.Done()
	defer func() {
		_ = raw.Close()
		s.mu.Lock()
		delete(s.connections, raw)
		s.mu.Unlock()
	}()
	conn, from, err := s.handshake(ctx, raw)
	if err != nil {
		event.PeerRefused.Log(s.opts.Log, slog.String("remote", raw.RemoteAddr().String()), slog.Any("error", err))
		return
	}
	event.PeerAccepted.Log(s.opts.Log, slog.String("peer", from))
	c := newServerConn(s, conn, from)
	if !s.markHandshakeDone(raw, c) {
		return
	}
	err = c.run(ctx)
	event.PeerDisconnected.Log(s.opts.Log, slog.String("peer", from), slog.Any("cause", err))
}

// markHandshakeDone registers the connection as in use. It returns false after
// Shutdown.
func (s *Server) markHandshakeDone(raw net.Conn, c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[raw] = c
	return !s.stopped
}

// handshake performs the TLS handshake, if enabled, exchanges hellos and
// checks that the peer is admitted. It returns the connection and the peer's
// host name.
func (s *Server) handshake(ctx context.Context, raw net.Conn) (net.Conn, string, error) {
	if err := setUserTimeout(raw, s.opts.UserTimeout); err != nil {
		return nil, "", err
	}
	if err := setHandshakeDeadline(raw, s.opts.HandshakeTimeout); err != nil {
		return nil, "", err
	}
	conn := raw
	if s.opts.TLS != nil {
		config, err := s.opts.TLS()
		if err != nil {
			return nil, "", errors.Wrap(err, "TLS configuration")
		}
		secure := tls.Server(raw, config)
		if err := secure.HandshakeContext(ctx); err != nil {
			return nil, "", errors.Wrap(err, "TLS handshake")
		}
		conn = secure
	}
	h, err := readHello(conn)
	if err != nil {
		return nil, "", err
	}
	if err := verifyCertificate(conn, h.Host); err != nil {
		return nil, "", err
	}
	if !s.admit(h.Host, remoteAddr(raw)) {
		return nil, "", errors.Wrapf(ErrHandshake, "host %q not admitted", h.Host)
	}
	if err := writeHello(conn, s.opts.Host, supportedVersions); err != nil {
		return nil, "", err
	}
	return conn, h.Host, errors.Wrap(conn.SetDeadline(time.Time{}), "clear deadline")
}

// remoteAddr returns the peer's IP address, or the zero Addr if it has none.
func remoteAddr(conn net.Conn) netip.Addr {
	ap, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}

// Shutdown stops accepting connections and requests, sends close notices to
// the peers and waits for handlers in flight and their replies. If the context
// ends first, it closes the remaining connections and returns the context's
// error.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, c := range s.startShutdown() {
		go c.sendCloseNotice()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.connWG.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.closeConnections()
		return errors.Wrap(ctx.Err(), "peer server shutdown")
	}
}

// startShutdown closes the listener and the connections whose handshake is in
// progress, and returns the others.
func (s *Server) startShutdown() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	s.stopped = true
	close(s.stopCh)
	if s.listener != nil {
		_ = s.listener.Close()
	}
	var inUse []*serverConn
	for raw, c := range s.connections {
		if c == nil {
			_ = raw.Close()
			continue
		}
		inUse = append(inUse, c)
	}
	return inUse
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.connections {
		_ = conn.Close()
	}
}
