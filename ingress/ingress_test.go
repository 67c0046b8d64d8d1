package ingress

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/internal/pipenet"
)

const (
	bodyLimit   = 256 << 10
	testBody    = 3 * time.Second
	testHeader  = 2 * time.Second
	testIdle    = 10 * time.Second
	headerLimit = 16 << 10
)

// site is a server with a budget, in a synctest bubble.
type site struct {
	*Budget
	t  *testing.T
	ln *pipenet.Listener
	// work is how long the handler takes.
	work time.Duration

	mu     sync.Mutex
	causes map[Cause]int
}

// serve starts a server that responds with the size of each body.
func serve(t *testing.T, l Limits) *site {
	t.Helper()
	s := &site{t: t, ln: pipenet.Listen(), causes: map[Cause]int{}}
	s.Budget = NewBudget(l, RequestLimits{HeaderBytes: headerLimit, HeaderTime: testHeader, IdleTime: testIdle}, func(c Cause) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.causes[c]++
	})
	refuse := func(w http.ResponseWriter, err *RefusedError) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", retryAfterSeconds)
		w.WriteHeader(err.Cause.Status())
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, release, err := ReadBody(r, bodyLimit)
		defer release()
		var refused *RefusedError
		switch {
		case errors.As(err, &refused):
			refuse(w, refused)
			return
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		pause.For(t.Context(), s.work)
		fmt.Fprint(w, len(text))
	})
	server := &http.Server{
		Handler: Handler(h, Options{
			BodyTime: func(*http.Request) time.Duration { return testBody },
			Refuse:   func(w http.ResponseWriter, _ *http.Request, err *RefusedError) { refuse(w, err) },
		}),
		ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, ConnContext: ConnContext, ConnState: Track,
	}
	go func() { _ = server.Serve(NewListener(s.ln, s.Budget, func(c Cause) []byte { return Refusal(c, "") })) }()
	t.Cleanup(func() {
		_ = server.Close() // no connection is left
		_ = s.ln.Close()
	})
	synctest.Wait()
	return s
}

// client is a connection to the server.
type client struct {
	net.Conn
	s  *site
	in *bufio.Reader
}

func (s *site) dial() *client {
	c := s.ln.Dial()
	synctest.Wait()
	return &client{c, s, bufio.NewReader(c)}
}

// send writes a text. The server may close the connection meanwhile.
func (c *client) send(text string) {
	go func() { _, _ = io.WriteString(c.Conn, text) }()
	synctest.Wait()
}

// post sends a request whose body is complete but for the missing bytes.
func (c *client) post(size, missing int) {
	c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("a", size-missing)))
}

// expect reads a response and checks its status; 0 for the end of the connection.
func (c *client) expect(status int) {
	c.s.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		if status != 0 {
			c.s.t.Errorf("no response: %v, want status %d", err, status)
		}
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the status is checked
	if resp.StatusCode != status {
		c.s.t.Errorf("status %d, want %d", resp.StatusCode, status)
	}
	if status == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "1" {
		c.s.t.Errorf("Retry-After is %q, want 1", resp.Header.Get("Retry-After"))
	}
}

// expectCause checks how often callers were limited for a cause.
func (s *site) expectCause(c Cause, n int) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.causes[c] != n {
		s.t.Errorf("%d callers limited by %s, want %d: %v", s.causes[c], c, n, s.causes)
	}
}

// expectNothingHeld checks that the budget is whole once all connections are closed.
func (s *site) expectNothingHeld(all ...*client) {
	s.t.Helper()
	for _, c := range all {
		_ = c.Close()
	}
	pause.For(s.t.Context(), time.Minute)
	synctest.Wait()
	if n, bytes := s.Usage(); n != 0 || bytes != 0 || s.closing != 0 || s.idle.Len() != 0 || s.requests.Len() != 0 {
		s.t.Errorf("%d connections, %d bytes, %d closing, %d idle, %d requests are held after the last connection",
			n, bytes, s.closing, s.idle.Len(), s.requests.Len())
	}
}

// oneLargeBody are limits with room for one large body at a time.
func oneLargeBody() Limits {
	return Limits{Connections: 20, Bytes: bodyFactor * bodyLimit * 3 / 2 * 4 / largeShare}
}

// TestStalledBodyLosesItsPlace guards against a client that stops short of its body's end
// and keeps the memory that others need.
func TestStalledBodyLosesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, oneLargeBody())
		stalled, next := s.dial(), s.dial()
		stalled.post(bodyLimit, 1)
		pause.For(t.Context(), stallTime)
		next.post(100, 0)
		stalled.expect(http.StatusServiceUnavailable)
		next.expect(http.StatusOK)
		next.post(bodyLimit, 0)
		next.expect(http.StatusOK)
		s.expectCause(CauseStalled, 1)
		s.expectNothingHeld(stalled, next)
	})
}

// TestProgressKeepsPlace guards against newcomers that take the places of clients whose
// bodies arrive slowly.
func TestProgressKeepsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, oneLargeBody())
		slow, next := s.dial(), s.dial()
		slow.post(bodyLimit, 4*progressBytes)
		for range 3 {
			pause.For(t.Context(), stallTime/2)
			slow.send(strings.Repeat("a", progressBytes))
		}
		next.post(bodyLimit, 0)
		next.expect(http.StatusServiceUnavailable)
		slow.send(strings.Repeat("a", progressBytes))
		slow.expect(http.StatusOK)
		s.expectCause(CauseMemory, 1)
		s.expectNothingHeld(slow, next)
	})
}

// TestDripIsNoProgress guards against a client that keeps its place by a byte now and then.
func TestDripIsNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, oneLargeBody())
		drip, next := s.dial(), s.dial()
		drip.post(bodyLimit, 10)
		pause.For(t.Context(), stallTime/2)
		drip.send("a")
		pause.For(t.Context(), stallTime/2)
		next.post(bodyLimit, 0)
		drip.expect(http.StatusServiceUnavailable)
		s.expectCause(CauseStalled, 1)
		s.expectNothingHeld(drip, next)
	})
}

// TestSmallRequestFindsRoom guards against large bodies, all of them arriving, that leave
// no room for small requests.
func TestSmallRequestFindsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, oneLargeBody())
		large, other, small := s.dial(), s.dial(), s.dial()
		large.post(bodyLimit, 1)
		other.post(bodyLimit, 1)
		other.expect(http.StatusServiceUnavailable)
		small.post(freeBytes, 0)
		small.expect(http.StatusOK)
		large.send("a")
		large.expect(http.StatusOK)
		s.expectNothingHeld(large, other, small)
	})
}

// TestNewConnectionTakesPlace checks which connections lose their places to a new one: a
// request that stalls, then one that is idle, but none that has just arrived or whose
// request is being served.
func TestNewConnectionTakesPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, Limits{Connections: 3, Bytes: 1 << 20})
		s.work = time.Minute
		served, unused, half := s.dial(), s.dial(), s.dial()
		served.post(10, 0)
		half.send("POST / HT")
		early := s.dial()
		early.expect(0)
		s.expectCause(CauseConnections, 1)
		pause.For(t.Context(), stallTime)
		second, third := s.dial(), s.dial()
		half.expect(http.StatusServiceUnavailable)
		unused.expect(0)
		s.expectCause(CauseStalled, 1)
		s.expectCause(CauseIdle, 1)
		served.expect(http.StatusOK)
		s.expectNothingHeld(served, unused, half, early, second, third)
	})
}

// TestHeaderIsBounded checks the limits of a header's size and time.
func TestHeaderIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, Limits{Connections: 10, Bytes: 1 << 20})
		legal, long, late := s.dial(), s.dial(), s.dial()
		legal.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", headerLimit-100) + "\r\n\r\n")
		legal.expect(http.StatusOK)
		long.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 3*headerLimit))
		long.expect(http.StatusRequestHeaderFieldsTooLarge)
		late.send("GET / HTTP/1.1\r\n")
		begun := time.Now()
		late.expect(0)
		if took := time.Since(begun); took != testHeader {
			t.Errorf("an unfinished header was closed after %v, want %v", took, testHeader)
		}
		s.expectCause(CauseHeaderSize, 1)
		s.expectNothingHeld(legal, long, late)
	})
}

// TestBodyIsBounded checks the limits of a body's size and time.
func TestBodyIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, Limits{Connections: 10, Bytes: 8 << 20})
		announced, chunked, late := s.dial(), s.dial(), s.dial()
		announced.post(bodyLimit+1, bodyLimit)
		announced.expect(http.StatusRequestEntityTooLarge)
		chunked.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", bodyLimit+1, strings.Repeat("a", bodyLimit+1)))
		chunked.expect(http.StatusRequestEntityTooLarge)
		begun := time.Now()
		late.post(10, 1)
		late.expect(http.StatusServiceUnavailable)
		if took := time.Since(begun); took != testBody {
			t.Errorf("an unfinished body was refused after %v, want %v", took, testBody)
		}
		s.expectCause(CauseBodySize, 2)
		s.expectCause(CauseBodyTime, 1)
		s.expectNothingHeld(announced, chunked, late)
	})
}

// TestUnreadResponseIsBounded checks that a client that reads nothing is disconnected.
func TestUnreadResponseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, Limits{Connections: 10, Bytes: 1 << 20})
		c := s.dial()
		c.post(10, 0)
		pause.For(t.Context(), responseTime+time.Second)
		c.expect(0)
		s.expectCause(CauseResponseTime, 1)
		s.expectNothingHeld(c)
	})
}

// TestPipelinedRequests checks that requests which the server has read ahead are served
// and charged.
func TestPipelinedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, Limits{Connections: 10, Bytes: 1 << 20})
		c := s.dial()
		c.send(strings.Repeat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", 3))
		for range 3 {
			c.expect(http.StatusOK)
		}
		s.expectNothingHeld(c)
	})
}

// TestRandomClientsLeaveNothing lets clients do random things, and checks that the limits
// hold at all times and that the budget is whole in the end.
func TestRandomClientsLeaveNothing(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			l := Limits{Connections: 8, Bytes: 2 << 20}
			s := serve(t, l)
			var all []*client
			for range 200 {
				switch {
				case len(all) == 0 || rng.IntN(4) == 0:
					c := s.dial()
					go func() { _, _ = io.Copy(io.Discard, c.Conn) }()
					all = append(all, c)
				case rng.IntN(8) == 0:
					_ = all[rng.IntN(len(all))].Close()
				default:
					c, size := all[rng.IntN(len(all))], 1+rng.IntN(bodyLimit+1000)
					c.post(size, rng.IntN(size)*rng.IntN(2))
				}
				pause.For(t.Context(), time.Duration(rng.IntN(400))*time.Millisecond)
				if n, bytes := s.Usage(); n > l.Connections+MaxClosing || bytes > l.Bytes+MaxClosing*connectionBytes {
					t.Fatalf("seed %d: %d connections and %d bytes, want at most %+v", seed, n, bytes, l)
				}
			}
			s.expectNothingHeld(all...)
		})
	}
}
