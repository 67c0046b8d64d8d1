package gateway

import (
	"context"
	"net"
	"net/http"
	"time"
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

// NewServer returns an HTTP server for callers. It limits slow senders and
// wraps handler in RejectAmbiguous, which needs a listener from
// LimitConnections.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           RejectAmbiguous(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxRequestHeader,
		ConnContext:       connContext,
		ConnState:         connState,
	}
}

// connContext stores the caller's connection in the context for
// RejectAmbiguous.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if caller, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, caller)
	}
	return ctx
}

// connState resets the header inspection when a connection becomes idle.
func connState(c net.Conn, s http.ConnState) {
	if caller, ok := c.(*callerConn); ok && s == http.StateIdle {
		caller.resetHeader()
	}
}
