package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/ingress"
	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/internal/pipenet"
)

// TestUnusedConnectionIsServed checks that a caller's connection that was opened
// ahead of its first request is not closed at the header timeout: a request on its
// way would end without an outcome.
func TestUnusedConnectionIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, unused := range []time.Duration{0, headerTimeout - time.Second, headerTimeout, headerTimeout + time.Second, callerIdleTimeout - time.Second} {
			status, err := firstRequestAfter(t, unused)
			if err != nil || status != http.StatusNoContent {
				t.Errorf("request on a connection unused for %v: status %d, error %v; want 204", unused, status, err)
			}
		}
		if _, err := firstRequestAfter(t, callerIdleTimeout+time.Second); err == nil {
			t.Error("an unused connection was served after the idle timeout, want it closed")
		}
	})
}

// firstRequestAfter sends the first request of a connection after a delay.
func firstRequestAfter(t *testing.T, unused time.Duration) (status int, err error) {
	t.Helper()
	caller := serveOneConn(t)
	defer caller.Close()
	pause.For(t.Context(), unused)
	if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// serveOneConn starts a server for callers, which responds with 204, and returns a
// connection to it.
func serveOneConn(t *testing.T) net.Conn {
	t.Helper()
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	ln := pipenet.Listen()
	budget := ingress.NewBudget(ingress.Limits{Connections: 10, Bytes: 1 << 20}, RequestLimits(), nil)
	go func() { _ = Serve(server, LimitConnections(ln, func() int { return 0 }), budget) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Dial()
}

// TestSlowHeaderEndsConnection checks that a caller that has begun a request must
// send the rest of its header within the header timeout.
func TestSlowHeaderEndsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := serveOneConn(t)
		defer caller.Close()
		pause.For(t.Context(), 2*headerTimeout)
		if _, err := io.WriteString(caller, "GET / HT"); err != nil {
			t.Fatal(err)
		}
		from := time.Now()
		_, err := io.ReadAll(caller)
		if took := time.Since(from); err != nil || took != headerTimeout {
			t.Errorf("connection with half a header ended after %v, error %v; want %v", took, err, headerTimeout)
		}
	})
}
