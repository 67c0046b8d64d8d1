package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/outcome"
)

// pipe returns a client connection, the remote end of its pipe and the counter
// of late replies.
func pipe(t *testing.T, o Options) (*clientConn, net.Conn, *atomic.Uint64) {
	t.Helper()
	near, far := net.Pipe()
	late := &atomic.Uint64{}
	c := newClientConn(near, o.withDefaults(), late, func(error) {})
	t.Cleanup(func() {
		c.close(errors.New("test ended"))
		_ = far.Close()
	})
	return c, far, late
}

// start sends a request in the background and returns the channel that
// receives its result.
func start(ctx context.Context, c *clientConn) <-chan Result {
	done := make(chan Result, 1)
	go func() { done <- c.roundTrip(ctx, "m", []byte{0x80}, nil) }()
	return done
}

// receive reads one message from the remote end.
func receive(t *testing.T, far net.Conn) *message {
	t.Helper()
	body, err := readFrame(far, DefaultMaxFrame)
	if err != nil {
		t.Fatal(err)
	}
	m, err := decodeMessage(body)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// reply writes a reply from the remote end.
func reply(t *testing.T, far net.Conn, id uint64) {
	t.Helper()
	body, _ := msgpack.Marshal(struct{}{})
	frame, err := encodeMessage(&message{Kind: kindReply, ID: id, Status: statusAnswered, Body: body}, 100)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := far.Write(frame); err != nil {
		t.Fatal(err)
	}
}

func TestCloseAfterWriteIsUnknown(t *testing.T) {
	c, far, _ := pipe(t, Options{})
	done := start(t.Context(), c)
	receive(t, far)
	_ = far.Close()
	if r := <-done; r.Kind != outcome.Unknown || !errors.Is(r.Err, ErrClosed) {
		t.Errorf("request whose connection closed after the write: got %+v, want unknown", r)
	}
	if r := c.roundTrip(t.Context(), "m", nil, nil); r.Kind != outcome.NotRun {
		t.Errorf("request on a closed connection: got %+v, want not run", r)
	}
}

func TestAbandonedBeforeWriteIsNotRun(t *testing.T) {
	// The remote end reads a single byte, so the writer blocks in the first
	// frame.
	c, far, _ := pipe(t, Options{WriteQueue: 1, MaxInFlight: 3})
	first := start(t.Context(), c)
	one := make([]byte, 1)
	if _, err := far.Read(one); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	second, err := c.register()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.enqueue(second); err != nil {
		t.Fatal(err)
	}
	if r := c.roundTrip(t.Context(), "m", nil, nil); r.Kind != outcome.NotRun || !errors.Is(r.Err, ErrBusy) {
		t.Errorf("request with a full write queue: got %+v, want not run with ErrBusy", r)
	}
	if r := second.abandon(context.Canceled); r.Kind != outcome.NotRun {
		t.Errorf("abandoned before the write: got %+v, want not run", r)
	}
	cancel()
	if r := c.roundTrip(ctx, "m", nil, nil); r.Kind != outcome.NotRun {
		t.Errorf("context canceled before the call: got %+v, want not run", r)
	}
	_ = far.Close()
	if r := <-first; r.Kind != outcome.Unknown {
		t.Errorf("partly written request: got %+v, want unknown", r)
	}
}

func TestInFlightIsBounded(t *testing.T) {
	c, far, _ := pipe(t, Options{MaxInFlight: 1})
	done := start(t.Context(), c)
	m := receive(t, far)
	if r := c.roundTrip(t.Context(), "m", nil, nil); r.Kind != outcome.NotRun || !errors.Is(r.Err, ErrBusy) {
		t.Errorf("request above MaxInFlight: got %+v, want not run with ErrBusy", r)
	}
	reply(t, far, m.ID)
	if r := <-done; r.Kind != outcome.Answered {
		t.Errorf("request in flight: got %+v, want answered", r)
	}
}

func TestLateReplyIsDroppedAndCounted(t *testing.T) {
	c, far, late := pipe(t, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	done := start(ctx, c)
	old := receive(t, far)
	cancel()
	if r := <-done; r.Kind != outcome.Unknown {
		t.Errorf("abandoned after the write: got %+v, want unknown", r)
	}
	done = start(t.Context(), c)
	fresh := receive(t, far)
	reply(t, far, old.ID)
	reply(t, far, fresh.ID)
	if r := <-done; r.Kind != outcome.Answered || late.Load() != 1 || fresh.ID == old.ID {
		t.Errorf("result %+v, late replies %d, IDs %d and %d", r, late.Load(), old.ID, fresh.ID)
	}
}

func TestInvalidFrameClosesOnlyItsConnection(t *testing.T) {
	_, address := serve(t, Options{Host: "b"}, admitAll, nil)
	good := dialer(t, Options{Host: "a"}, address)
	if r := good.Call(t.Context(), "b", "echo", echoMessage{"1"}, nil); r.Kind != outcome.Answered {
		t.Fatalf("first request: got %+v, want answered", r)
	}
	damaged := validFrame(t)
	damaged[headerSize] ^= 0xff
	for _, garbage := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), damaged, {0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 0, 0, 0, 0, 0}} {
		for _, handshaken := range []bool{false, true} {
			raw, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			if handshaken {
				if err := writeHello(raw, "x", supportedVersions); err != nil {
					t.Fatal(err)
				}
				if _, err := readHello(raw); err != nil {
					t.Fatal(err)
				}
			}
			_, _ = raw.Write(garbage)
			if _, err := raw.Read(make([]byte, 1)); err == nil {
				t.Error("server kept the connection open after an invalid frame")
			}
			_ = raw.Close()
		}
	}
	if r := good.Call(t.Context(), "b", "echo", echoMessage{"2"}, nil); r.Kind != outcome.Answered {
		t.Errorf("request after invalid frames on other connections: got %+v, want answered", r)
	}
}

func TestNoCommonVersionIsRefused(t *testing.T) {
	_, address := serve(t, Options{Host: "b"}, admitAll, nil)
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	if err := writeHello(raw, "a", []uint32{99}); err != nil {
		t.Fatal(err)
	}
	if _, err := readHello(raw); err == nil {
		t.Error("server accepted a hello with an unsupported version")
	}
}

func TestShutdownFinishesHandlers(t *testing.T) {
	entered, leave := make(chan time.Time, 1), make(chan struct{})
	s, address := serve(t, Options{Host: "b"}, admitAll, func(s *Server) {
		s.Handle("slow", func(ctx context.Context, from string, _ func(any) error) (any, error) {
			deadline, _ := ctx.Deadline()
			entered <- deadline
			<-leave
			return echoMessage{from}, ctx.Err()
		})
	})
	c := dialer(t, Options{Host: "a"}, address)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var got echoMessage
	done := make(chan Result, 1)
	go func() { done <- c.Call(ctx, "b", "slow", echoMessage{}, &got) }()
	if deadline := <-entered; deadline.IsZero() || time.Until(deadline) > time.Minute {
		t.Errorf("handler deadline %v, want at most one minute from now", deadline)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(ctx) }()
	<-s.stopCh
	if r := c.Call(ctx, "b", "echo", echoMessage{}, nil); r.Kind != outcome.NotRun {
		t.Errorf("request during shutdown: got %+v, want not run", r)
	}
	close(leave)
	if r := <-done; r.Kind != outcome.Answered || got.Text != "a" {
		t.Errorf("request in flight at shutdown: got %+v, want answered", r)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func TestBackoffAndRedial(t *testing.T) {
	_, address := serve(t, Options{Host: "b"}, admitAll, nil)
	c := NewClient(Options{Host: "a", MinBackoff: time.Hour, MaxBackoff: time.Hour}, rand.New(rand.NewPCG(1, 1)))
	defer c.Close()
	c.SetPeers(map[string]string{"b": address})
	dials := 0
	dial := c.opts.Dial
	c.opts.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		if dials == 1 {
			return nil, errors.New("refused")
		}
		return dial(ctx, network, address)
	}
	for range 3 {
		if r := c.Call(t.Context(), "b", "echo", echoMessage{}, nil); r.Kind != outcome.NotRun {
			t.Errorf("request during the backoff: got %+v, want not run", r)
		}
	}
	if dials != 1 {
		t.Errorf("%d dials during the backoff, want 1", dials)
	}
	l := c.links["b"]
	l.mu.Lock()
	if wait := time.Until(l.retryAt); wait < 29*time.Minute || wait > time.Hour {
		t.Errorf("backoff %v, want 30m to 1h", wait)
	}
	l.mu.Unlock()
	// A host that is known to be up again must not count as unreachable until the backoff ends.
	c.Redial("b")
	if r := c.Call(t.Context(), "b", "echo", echoMessage{}, nil); r.Kind != outcome.Answered || dials != 2 {
		t.Errorf("after Redial: got %+v after %d dials, want answered after 2", r, dials)
	}
}

func BenchmarkCall(b *testing.B) {
	_, address := serve(b, Options{Host: "b"}, admitAll, nil)
	c := dialer(b, Options{Host: "a"}, address)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var got echoMessage
			if r := c.Call(context.Background(), "b", "echo", echoMessage{"hello"}, &got); r.Kind != outcome.Answered {
				b.Errorf("got %+v, want answered", r)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

// TestCloseNoticeToUnresponsivePeer checks that the server closes the
// connection of a peer that ignores the close notice, but only after its
// handlers have finished.
func TestCloseNoticeToUnresponsivePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		s := NewServer(Options{}, admitAll)
		running, finish := make(chan struct{}), make(chan struct{})
		s.Handle("m", func(context.Context, string, func(any) error) (any, error) {
			close(running)
			<-finish
			return struct{}{}, nil
		})
		c := newServerConn(s, near, "paused")
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = c.run(t.Context())
		}()
		frame, err := encodeMessage(&message{Kind: kindRequest, ID: 1, Method: "m"}, 100)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := far.Write(frame); err != nil {
			t.Fatal(err)
		}
		<-running
		began := time.Now()
		go c.sendCloseNotice()
		if m := receive(t, far); m.Kind != kindCloseNotice {
			t.Fatalf("got %+v", m)
		}
		time.AfterFunc(3*closeNoticeTimeout, func() { close(finish) })
		if m := receive(t, far); m.Kind != kindReply {
			t.Fatalf("got %+v", m)
		}
		<-ended
		if took := time.Since(began); took < 3*closeNoticeTimeout || took > 4*closeNoticeTimeout {
			t.Errorf("connection closed after %s, want after the handler and the close notice timeout", took)
		}
	})
}
