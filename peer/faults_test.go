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

// pipe returns a client connection and the bare other end.
func pipe(t *testing.T, o Options) (*clientConn, net.Conn, *atomic.Uint64) {
	t.Helper()
	near, far := net.Pipe()
	late := &atomic.Uint64{}
	c := newClientConn(near, o.withDefaults(), late, func(error) {})
	t.Cleanup(func() {
		c.close(errors.New("test over"))
		_ = far.Close()
	})
	return c, far, late
}

// start begins a call and returns where its result comes.
func start(ctx context.Context, c *clientConn) <-chan Result {
	done := make(chan Result, 1)
	go func() { done <- c.roundTrip(ctx, "m", []byte{0x80}, nil) }()
	return done
}

// receive reads one message from the bare end.
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

// reply writes one reply from the bare end.
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

func TestDeathAfterWriteIsUnknown(t *testing.T) {
	c, far, _ := pipe(t, Options{})
	done := start(t.Context(), c)
	receive(t, far)
	_ = far.Close()
	if r := <-done; r.Kind != outcome.Unknown || !errors.Is(r.Err, ErrClosed) {
		t.Errorf("%+v", r)
	}
	if r := c.roundTrip(t.Context(), "m", nil, nil); r.Kind != outcome.NotRun {
		t.Errorf("on a dead connection: %+v", r)
	}
}

func TestWithdrawnBeforeWriteIsNotRun(t *testing.T) {
	// Nobody reads the pipe, so the writer is stuck in the first frame.
	c, far, _ := pipe(t, Options{WriteQueue: 1, MaxInFlight: 3})
	first := start(t.Context(), c)
	one := make([]byte, 1)
	if _, err := far.Read(one); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	second, err := c.open()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.enqueue(second); err != nil {
		t.Fatal(err)
	}
	if r := c.roundTrip(t.Context(), "m", nil, nil); r.Kind != outcome.NotRun || !errors.Is(r.Err, ErrBusy) {
		t.Errorf("full write queue: %+v", r)
	}
	if r := second.giveUp(context.Canceled); r.Kind != outcome.NotRun {
		t.Errorf("withdrawn: %+v", r)
	}
	cancel()
	if r := c.roundTrip(ctx, "m", nil, nil); r.Kind != outcome.NotRun {
		t.Errorf("context over before: %+v", r)
	}
	_ = far.Close()
	if r := <-first; r.Kind != outcome.Unknown {
		t.Errorf("half written: %+v", r)
	}
}

func TestInFlightIsBounded(t *testing.T) {
	c, far, _ := pipe(t, Options{MaxInFlight: 1})
	done := start(t.Context(), c)
	m := receive(t, far)
	if r := c.roundTrip(t.Context(), "m", nil, nil); r.Kind != outcome.NotRun || !errors.Is(r.Err, ErrBusy) {
		t.Errorf("%+v", r)
	}
	reply(t, far, m.ID)
	if r := <-done; r.Kind != outcome.Answered {
		t.Errorf("%+v", r)
	}
}

func TestLateReplyIsDroppedAndCounted(t *testing.T) {
	c, far, late := pipe(t, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	done := start(ctx, c)
	old := receive(t, far)
	cancel()
	if r := <-done; r.Kind != outcome.Unknown {
		t.Errorf("given up after the write: %+v", r)
	}
	done = start(t.Context(), c)
	fresh := receive(t, far)
	reply(t, far, old.ID)
	reply(t, far, fresh.ID)
	if r := <-done; r.Kind != outcome.Answered || late.Load() != 1 || fresh.ID == old.ID {
		t.Errorf("%+v, late %d, ids %d and %d", r, late.Load(), old.ID, fresh.ID)
	}
}

func TestGarbageClosesThatConnectionOnly(t *testing.T) {
	_, address := serve(t, Options{Host: "b"}, anyone, nil)
	good := dialer(t, Options{Host: "a"}, address)
	if r := good.Call(t.Context(), "b", "echo", text{"1"}, nil); r.Kind != outcome.Answered {
		t.Fatalf("%+v", r)
	}
	damaged := goodFrame(t)
	damaged[headerSize] ^= 0xff
	for _, garbage := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), damaged, {0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 0, 0, 0, 0, 0}} {
		for _, greeted := range []bool{false, true} {
			raw, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			if greeted {
				if err := writeHello(raw, "x", supportedVersions); err != nil {
					t.Fatal(err)
				}
				if _, err := readHello(raw); err != nil {
					t.Fatal(err)
				}
			}
			_, _ = raw.Write(garbage)
			if _, err := raw.Read(make([]byte, 1)); err == nil {
				t.Error("the server went on after garbage")
			}
			_ = raw.Close()
		}
	}
	if r := good.Call(t.Context(), "b", "echo", text{"2"}, nil); r.Kind != outcome.Answered {
		t.Errorf("%+v", r)
	}
}

func TestNoCommonVersionIsRefused(t *testing.T) {
	_, address := serve(t, Options{Host: "b"}, anyone, nil)
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	if err := writeHello(raw, "a", []uint32{99}); err != nil {
		t.Fatal(err)
	}
	if _, err := readHello(raw); err == nil {
		t.Error("accepted")
	}
}

func TestShutdownFinishesHandlers(t *testing.T) {
	entered, leave := make(chan time.Time, 1), make(chan struct{})
	s, address := serve(t, Options{Host: "b"}, anyone, func(s *Server) {
		s.Handle("slow", func(ctx context.Context, from string, _ func(any) error) (any, error) {
			deadline, _ := ctx.Deadline()
			entered <- deadline
			<-leave
			return text{from}, ctx.Err()
		})
	})
	c := dialer(t, Options{Host: "a"}, address)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var got text
	done := make(chan Result, 1)
	go func() { done <- c.Call(ctx, "b", "slow", text{}, &got) }()
	if deadline := <-entered; deadline.IsZero() || time.Until(deadline) > time.Minute {
		t.Errorf("the handler's deadline is %v", deadline)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(ctx) }()
	<-s.stop
	if r := c.Call(ctx, "b", "echo", text{}, nil); r.Kind != outcome.NotRun {
		t.Errorf("during shutdown: %+v", r)
	}
	close(leave)
	if r := <-done; r.Kind != outcome.Answered || got.S != "a" {
		t.Errorf("in flight: %+v", r)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func TestReconnectWaitsThenDials(t *testing.T) {
	_, address := serve(t, Options{Host: "b"}, anyone, nil)
	c := NewClient(Options{Host: "a", MinBackoff: time.Hour, MaxBackoff: time.Hour}, rand.New(rand.NewPCG(1, 1)))
	defer c.Close()
	c.SetPeers(map[string]string{"b": address})
	dials := 0
	dial := c.dial
	c.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		if dials == 1 {
			return nil, errors.New("refused")
		}
		return dial(ctx, network, address)
	}
	for range 3 {
		if r := c.Call(t.Context(), "b", "echo", text{}, nil); r.Kind != outcome.NotRun {
			t.Errorf("%+v", r)
		}
	}
	if dials != 1 {
		t.Errorf("%d dials while waiting", dials)
	}
	l := c.links["b"]
	l.mu.Lock()
	if wait := time.Until(l.retryAt); wait < 29*time.Minute || wait > time.Hour {
		t.Errorf("waits %v", wait)
	}
	l.retryAt = time.Time{}
	l.mu.Unlock()
	if r := c.Call(t.Context(), "b", "echo", text{}, nil); r.Kind != outcome.Answered || dials != 2 {
		t.Errorf("%+v after %d dials", r, dials)
	}
}

func BenchmarkCall(b *testing.B) {
	_, address := serve(b, Options{Host: "b"}, anyone, nil)
	c := dialer(b, Options{Host: "a"}, address)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var got text
			if r := c.Call(context.Background(), "b", "echo", text{"hello"}, &got); r.Kind != outcome.Answered {
				b.Errorf("%+v", r)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

// TestFarewellToSilentPeer lets a peer take the goodbye and do nothing, as a
// paused process does: it is waited for only while something of it runs here.
func TestFarewellToSilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		s := NewServer(Options{}, anyone)
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
		go c.farewell()
		if m := receive(t, far); m.Kind != kindGoodbye {
			t.Fatalf("got %+v", m)
		}
		time.AfterFunc(3*goodbyePatience, func() { close(finish) })
		if m := receive(t, far); m.Kind != kindReply {
			t.Fatalf("got %+v", m)
		}
		<-ended
		if took := time.Since(began); took < 3*goodbyePatience || took > 4*goodbyePatience {
			t.Errorf("closed after %s", took)
		}
	})
}
