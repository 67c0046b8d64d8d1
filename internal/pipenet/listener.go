// Package pipenet is an in-memory listener for tests in virtual time.
package pipenet

import (
	"net"
	"sync"
)

// Listener is an in-memory net.Listener. Its connections are those of net.Pipe.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen returns an open listener.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial returns the caller's end of a new connection. It blocks until Accept is
// called. Once the listener is closed, the other end of the connection is closed too.
func (l *Listener) Dial() net.Conn {
	caller, server := net.Pipe()
	select {
	case l.conns <- server:
	case <-l.closed:
		_ = server.Close() // always nil
	}
	return caller
}
