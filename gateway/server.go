package gateway

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds the time in which a caller sends its headers.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time in which a caller sends its body.
	bodyTimeout = 10 * time.Second
	// callerIdleTimeout closes idle connections of callers.
	callerIdleTimeout = 2 * time.Minute
	// maxRequestHeader bounds a request's headers in bytes.
	maxRequestHeader = 32 << 10
)

// NewServer returns an HTTP server for callers, with bounds on slow senders
// and with Strict around the handler. Serve it on a listener from
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

// connContext makes the caller's connection known to Strict.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if caller, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, caller)
	}
	return ctx
}

// connState starts the look at a request's header.
func connState(c net.Conn, s http.ConnState) {
	if caller, ok := c.(*callerConn); ok && s == http.StateIdle {
		caller.nextHeader()
	}
}
