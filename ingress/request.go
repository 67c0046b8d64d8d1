package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// connKey is the context key of a request's Conn.
type connKey struct{}

// ConnContext stores a connection in the context of its requests, as the hook of an
// http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if conn := connOf(c); conn != nil {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// Track returns what a request held when it has ended, as the hook of an http.Server.
func Track(c net.Conn, s http.ConnState) {
	if conn := connOf(c); conn != nil && s == http.StateIdle {
		conn.endRequest()
	}
}

// connOf returns the Conn that c is or wraps, nil if there is none.
func connOf(c net.Conn) *Conn {
	for {
		if conn, ok := c.(*Conn); ok {
			return conn
		}
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = w.NetConn()
	}
}

// endRequest returns what a request held.
func (c *Conn) endRequest() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.charge(c, c.budget.limits.connection()-c.charged)
	c.enter(idle, time.Now())
}

// Options are the properties of a Handler.
type Options struct {
	// BodyTime returns how long the body of a request may take.
	BodyTime func(*http.Request) time.Duration
	// Refuse responds to a request that wasn't read whole and has not run.
	Refuse func(http.ResponseWriter, *http.Request, *RefusedError)
}

// Handler returns a handler that bounds the bodies of requests in time and charges them
// to the budget of their connection. Reads of a body that is refused return a
// RefusedError.
func Handler(next http.Handler, o Options) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r) // the connection is of another listener
			return
		}
		var limit time.Duration
		if r.Body != http.NoBody {
			limit = o.BodyTime(r)
		}
		if err := c.beginBody(limit); err != nil {
			w.Header().Set("Connection", "close")
			o.Refuse(w, r, err)
			return
		}
		if r.Body != http.NoBody {
			r.Body = &bodyReader{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// beginBody begins the body of a request, which may take the time, or the host's work on
// it if the limit is 0.
func (c *Conn) beginBody(limit time.Duration) *RefusedError {
	now := time.Now()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	var deadline time.Time
	next := serving
	if limit > 0 {
		deadline, next = now.Add(limit), body
	}
	switch {
	case c.lost != "":
		return &RefusedError{c.lost}
	case c.phase != idle:
		c.enter(next, now)
	case !c.begin(next, now): // the server had read the header ahead
		return &RefusedError{CauseMemory}
	}
	_ = c.Conn.SetReadDeadline(deadline) // fails only on a closed connection
	return nil
}

// bodyReader is a body that is charged to its connection.
type bodyReader struct {
	io.ReadCloser
	conn *Conn
	// refused is set once the body was refused.
	refused *RefusedError
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.refused != nil {
		return 0, b.refused
	}
	n, err := b.ReadCloser.Read(p)
	b.refused = b.conn.chargeBody(n)
	switch {
	case b.refused != nil:
	case errors.Is(err, io.EOF):
		b.conn.endBody()
	case err != nil:
		b.refused = b.conn.cutShort(err)
	}
	if b.refused != nil {
		return 0, b.refused
	}
	return n, err
}

// chargeBody charges n more bytes of the body.
func (c *Conn) chargeBody(n int) *RefusedError {
	now := time.Now()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	before := max(c.received, freeBytes)
	c.received += int64(n)
	more := c.received - before
	if more <= 0 || c.budget.grow(c, bodyFactor*more, c.budget.limits.large(), now) {
		return nil
	}
	c.budget.refused(CauseMemory)
	return &RefusedError{CauseMemory}
}

// endBody begins the host's work on a request that was read whole.
func (c *Conn) endBody() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.phase != body || c.lost != "" {
		return
	}
	c.enter(serving, time.Now())
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
}

// cutShort returns why a body wasn't read whole, nil if the caller has disconnected.
func (c *Conn) cutShort(err error) *RefusedError {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	var e net.Error
	switch {
	case c.lost != "":
		return &RefusedError{c.lost}
	case errors.As(err, &e) && e.Timeout():
		c.budget.refused(CauseBodyTime)
		return &RefusedError{CauseBodyTime}
	default:
		return nil
	}
}

// releaseBody returns what a body held.
func (c *Conn) releaseBody() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.charge(c, min(c.budget.limits.connection()+requestBytes-c.charged, 0))
}

// WithBody returns a middleware that reads the body of each request, which may have limit
// bytes, before the next handler. refuse responds to a request that wasn't read whole.
func WithBody(limit int64, refuse func(http.ResponseWriter, *http.Request, *RefusedError)) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Body == http.NoBody {
				next.ServeHTTP(w, r)
				return
			}
			text, release, err := ReadBody(r, limit)
			defer release()
			var refused *RefusedError
			switch {
			case errors.As(err, &refused):
				refuse(w, r, refused)
				return
			case err != nil:
				w.WriteHeader(http.StatusBadRequest) // the caller has disconnected
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(text))
			next.ServeHTTP(w, r)
		})
	}
}
