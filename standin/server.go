package standin

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// readHeaderTimeout bounds how long a stand-in waits for a request's header.
const readHeaderTimeout = 10 * time.Second

// server serves one stand-in on a loopback address that it keeps while it is
// down.
type server struct {
	handler   http.Handler
	connState func(net.Conn, http.ConnState)

	mu      sync.Mutex
	address string
	http    *http.Server
	serving sync.WaitGroup
}

// start listens on address, "127.0.0.1:0" for any port.
func (s *server) start(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listen(address)
}

// listen needs s.mu.
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
		// It returns once the server is closed; nothing else ends it.
		_ = server.Serve(listener)
	})
	return nil
}

// setDown closes the listener and every connection, so that connections are
// refused, or listens again on the same address.
func (s *server) setDown(down bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !down && s.http == nil {
		return s.listen(s.address)
	}
	if down && s.http != nil {
		return s.shut()
	}
	return nil
}

// close stops serving for good.
func (s *server) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return nil
	}
	return s.shut()
}

// shut needs s.mu.
func (s *server) shut() error {
	err := s.http.Close()
	s.serving.Wait()
	s.http = nil
	return errors.Wrap(err, "close")
}
