package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/fireflygate/fireflygate/ingress"
	"github.com/fireflygate/fireflygate/internal/spareconn"
)

const (
	// headerTimeout limits the time in which a caller sends its headers.
	headerTimeout = 5 * time.Second
	// bodyTimeout limits the time in which a caller sends its body.
	bodyTimeout = 10 * time.Second
	// callerIdleTimeout closes idle connections of callers.
	callerIdleTimeout = 2 * time.Minute
	// maxRequestHeader is the largest size of a request's headers in bytes.
	maxRequestHeader = 32 << 10
)

// NewServer returns an HTTP server for callers, to be run by Serve. It limits slow
// senders and wraps handler in RejectAmbiguous, which needs a listener from
// LimitConnections.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           ingress.Handler(RejectAmbiguous(handler), ingress.Options{BodyTime: BodyTime, Refuse: Refuse}),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxRequestHeader,
		ConnContext:       connContext,
		ConnState:         connState,
	}
}

// Serve serves callers on a listener until the server is shut down. Their connections
// have places in the budget. A connection that hasn't carried a request yet is kept as
// long as any other idle one.
func Serve(server *http.Server, l net.Listener, b *ingress.Budget) error {
	l = ingress.NewListener(l, b, RefuseHeader)
	limits := spareconn.Limits{Idle: callerIdleTimeout, Header: headerTimeout}
	return server.Serve(spareconn.NewListener(l, limits))
}

// connContext stores the caller's connection in the context for
// RejectAmbiguous.
func connContext(ctx context.Context, c net.Conn) context.Context {
	ctx = ingress.ConnContext(ctx, c)
	if caller, ok := callerConnOf(c); ok {
		return context.WithValue(ctx, callerConnKey{}, caller)
	}
	return ctx
}

// callerConnOf returns the caller's connection that c is or wraps, if any.
func callerConnOf(c net.Conn) (*callerConn, bool) {
	if spare, ok := c.(*spareconn.Conn); ok {
		c = spare.NetConn()
	}
	if limited, ok := c.(*ingress.Conn); ok {
		c = limited.NetConn()
	}
	caller, ok := c.(*callerConn)
	return caller, ok
}

// connState resets the header inspection when a connection becomes idle.
func connState(c net.Conn, s http.ConnState) {
	ingress.Track(c, s)
	if caller, ok := callerConnOf(c); ok && s == http.StateIdle {
		caller.resetHeader()
	}
}
