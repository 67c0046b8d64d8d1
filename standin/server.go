package standin

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const readHeaderTimeout = 10 * time.Second

// server serves one stand-in over HTTP and keeps its address across setDown.
type server struct {
	handler   http.Handler
	connState func(net.Conn, http.ConnState)

	mu      sync.Mutex
	address string
	http    *http.Server
	serving sync.WaitGroup
}

// start listens on address; port 0 selects a free port.
func (s *server) start(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listen(address)
}

// listen starts serving. The caller holds s.mu.
func (s *server) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.address = listener.Addr().String()
	s.http = &http.Server{
		Handler:           s.handler,
		ConnState:         s.connState,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	server := s.http
	s.serving.Go(func() {
		// Serve returns when the server is closed.
		_ = server.Serve(listener)
	})
	return nil
}

// setDown closes the listener and all connections, or listens again on the same
// address.
func (s *server) setDown(down bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !down && s.http == nil {
		return s.listen(s.address)
	}
	if down && s.http != nil {
		return s.stop()
	}
	return nil
}

// close stops the server.
func (s *server) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return nil
	}
	return s.stop()
}

// stop stops serving and waits for the listener. The caller holds s.mu.
func (s *server) stop() error {
	err := s.http.Close()
	s.serving.Wait()
	s.http = nil
	return errors.Wrap(err, "close")
}
