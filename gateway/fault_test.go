package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/booking"
	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/routing"
)

// newSingleEndpointHost returns a host that owns one endpoint.
func newSingleEndpointHost(t testing.TB, slots int, h http.HandlerFunc, edit func(*Options)) *host {
	t.Helper()
	a := newHost(t, nil, "a", edit)
	a.SetEndpoints([]routing.Endpoint{endpoint(t, "e1", slots, h)})
	a.grants.set(ownership.Full, "e1")
	return a
}

func (h *host) inUse() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.InUse("")
}

// truncatedAnswer returns a handler that sends size bytes of a longer answer,
// with a declared length or in chunks, and aborts the connection.
func truncatedAnswer(size int, declared bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if declared {
			w.Header().Set("Content-Length", "900000")
		}
		_, _ = io.WriteString(w, strings.Repeat("x", size))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func TestTruncatedAnswerIsUnknown(t *testing.T) {
	for i := range 6 {
		size := []int{0, 10, 200_000}[i/2]
		h := newSingleEndpointHost(t, 2, truncatedAnswer(size, i%2 == 0), nil)
		resp, err := http.Post(startServer(t, h.Gateway)+"/call/"+testService+"/", "", strings.NewReader("x"))
		if err != nil {
			continue // the connection was aborted before the headers
		}
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode != http.StatusGatewayTimeout {
			t.Errorf("%d bytes sent: truncated answer passed on as complete with status %d", size, resp.StatusCode)
		}
		if err == nil && resp.Header.Get(outcome.Header) != "unknown" {
			t.Errorf("%d bytes sent: outcome %q, want unknown", size, resp.Header.Get(outcome.Header))
		}
		if h.inUse() != 1 {
			t.Errorf("%d bytes sent: %d slots in use, want 1 as the endpoint may still run", size, h.inUse())
		}
	}
}

// passthroughRegistry runs every request.
type passthroughRegistry struct{}

func (passthroughRegistry) Do(ctx context.Context, _ booking.Request, run booking.Run) (booking.Response, outcome.Refusal) {
	return run(ctx)
}

// TestNoDuplicateSend has an endpoint close its connection without an answer
// on the second request. net/http would repeat a GET, and a POST with an
// idempotency key.
func TestNoDuplicateSend(t *testing.T) {
	var hits atomic.Int64
	h := newSingleEndpointHost(t, 4, func(w http.ResponseWriter, _ *http.Request) {
		if hits.Add(1) == 1 {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.Close()
		}
	}, func(o *Options) { o.Bookings = passthroughRegistry{}; o.Calls.RetryBudget = 0 })
	for _, req := range []Request{get("/"), post(""), post("")} {
		hits.Store(0)
		if req.Method == http.MethodPost {
			req.Key = "k"
			req.Header = http.Header{"Idempotency-Key": {"k"}}
		}
		_, first := h.Call(t.Context(), req)
		_, second := h.Call(t.Context(), req)
		if first.Kind != outcome.Answered || second.Kind != outcome.Unknown || hits.Load() != 2 {
			t.Fatalf("%s: %+v, %+v, endpoint saw %d", req.Method, first, second, hits.Load())
		}
	}
}

func TestSlotHeldAfterCallerDisconnects(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	h := newSingleEndpointHost(t, 1, func(http.ResponseWriter, *http.Request) {
		close(started)
		<-finish
	}, func(o *Options) { o.MaxRun = time.Minute })
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	if _, r := h.Call(ctx, post("x")); r.Kind != outcome.Unknown {
		t.Fatalf("caller disconnected after the write: got %+v, want unknown", r)
	}
	late := post("y")
	late.Deadline = time.Now().Add(50 * time.Millisecond)
	if _, r := h.Call(t.Context(), late); r.Kind != outcome.NotRun {
		t.Fatalf("second call while the slot is in use: got %+v, want not run", r)
	}
	close(finish)
	if err := h.Drain(t.Context(), "e1"); err != nil {
		t.Fatal(err)
	}
}

func TestSlotHeldForMaxRunAfterBrokenConnection(t *testing.T) {
	h := newSingleEndpointHost(t, 1, truncatedAnswer(10, true), func(o *Options) { o.MaxRun = 300 * time.Millisecond })
	before := time.Now()
	if _, r := h.Call(t.Context(), post("x")); r.Kind != outcome.Unknown {
		t.Fatalf("truncated answer: got %+v, want unknown", r)
	}
	if err := h.Drain(t.Context(), "e1"); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(before); took < 300*time.Millisecond {
		t.Errorf("slot freed after %v, before MaxRun had passed", took)
	}
}

// revokingSource reports the grant for a limited number of calls of Snapshot.
type revokingSource struct {
	remaining atomic.Int64
	granted   *ownership.Snapshot
}

func (f *revokingSource) Snapshot() *ownership.Snapshot {
	if f.remaining.Add(-1) < 0 {
		return &ownership.Snapshot{}
	}
	return f.granted
}

func TestGrantLostBeforeWrite(t *testing.T) {
	var hits atomic.Int64
	f := &revokingSource{granted: &ownership.Snapshot{Grants: map[string]ownership.Grant{"e1": {Share: ownership.Full, ShareAfter: ownership.Full}}}}
	h := newHost(t, nil, "a", func(o *Options) { o.Ownership = f; o.Calls.RetryBudget = 0 })
	h.SetEndpoints([]routing.Endpoint{endpoint(t, "e1", 1, func(http.ResponseWriter, *http.Request) { hits.Add(1) })})
	f.remaining.Store(1)
	if _, r := h.Call(t.Context(), post("x")); r.Kind != outcome.NotRun || r.Reason != ReasonGrantLapsed {
		t.Errorf("grant lost before the write: got %+v, want not run", r)
	}
	if hits.Load() != 0 || h.inUse() != 0 {
		t.Errorf("endpoint saw %d, %d slots in use", hits.Load(), h.inUse())
	}
}

func TestUnprocessedIsRetriedWithinBudget(t *testing.T) {
	var hits atomic.Int64
	h := newSingleEndpointHost(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		if hits.Add(1) == 1 {
			w.Header().Set(unprocessedHeader, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, func(o *Options) { o.Calls.RetryBudget = 1 })
	if _, r := h.Call(t.Context(), post("x")); r.Kind != outcome.Answered || hits.Load() != 2 {
		t.Errorf("%+v after %d tries", r, hits.Load())
	}
	h = newSingleEndpointHost(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(unprocessedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}, func(o *Options) { o.Calls.RetryBudget = 0 })
	if _, r := h.Call(t.Context(), post("x")); r.Kind != outcome.NotRun || r.Reason != ReasonUnprocessed {
		t.Errorf("without a retry budget: got %+v, want not run", r)
	}
}

// TestLostForwardAnswer checks that a forwarded request whose reply is lost is
// reported as unknown and is not repeated.
func TestLostForwardAnswer(t *testing.T) {
	var hits atomic.Int64
	n := peernet.New()
	a, b := newHost(t, n, "a", func(o *Options) { o.Calls.RetryBudget = 1 }), newHost(t, n, "b", nil)
	list := []routing.Endpoint{endpoint(t, "e1", 4, func(http.ResponseWriter, *http.Request) { hits.Add(1) })}
	a.SetEndpoints(list)
	b.SetEndpoints(list)
	b.grants.set(ownership.Full, "e1")
	b.SetPeers([]PeerHost{{Name: "a", Zone: "z1"}})
	flushDigests(t, b)
	n.SetFault(func(_, _ string, m peer.Method) peernet.Fault {
		if m == MethodCall {
			return peernet.ReplyLost
		}
		return peernet.NoFault
	})
	if _, r := a.Call(t.Context(), post("x")); r.Kind != outcome.Unknown || hits.Load() != 1 {
		t.Errorf("%+v, endpoint saw %d", r, hits.Load())
	}
}

func TestAnswerTooLarge(t *testing.T) {
	h := newSingleEndpointHost(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 2000))
	}, func(o *Options) { o.Calls.MaxBody = 1000 })
	if _, r := h.Call(t.Context(), post("x")); r.Kind != outcome.Unknown {
		t.Errorf("answer above MaxBody: got %+v, want unknown", r)
	}
}

func TestStopWaitsForInFlight(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	h := newSingleEndpointHost(t, 2, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		_, _ = io.WriteString(w, "whole")
	}, nil)
	got := make(chan outcome.Refusal, 1)
	go func() {
		_, r := h.Call(t.Context(), post("x"))
		got <- r
	}()
	<-started
	early, cancel := context.WithCancel(t.Context())
	cancel()
	if h.Stop(early) == nil {
		t.Error("Stop succeeded with a request in flight")
	}
	if _, r := h.Call(t.Context(), post("y")); r.Kind != outcome.NotRun || r.RetryAfter == 0 {
		t.Errorf("new request while stopping: got %+v, want not run with a retry time", r)
	}
	close(finish)
	if err := h.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	if r := <-got; r.Kind != outcome.Answered {
		t.Errorf("request in flight: got %+v, want answered", r)
	}
}

// TestRetryKeepsUnknownOutcome checks that a request that may have run is
// reported as unknown even if all its retries are refused without running.
func TestRetryKeepsUnknownOutcome(t *testing.T) {
	var hits atomic.Int64
	h := newSingleEndpointHost(t, 4, func(w http.ResponseWriter, _ *http.Request) {
		if hits.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(unprocessedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}, func(o *Options) { o.Calls.RetryBudget = 1 })
	_, r := h.Call(t.Context(), get("/"))
	if r.Kind != outcome.Unknown || hits.Load() < 2 {
		t.Errorf("%+v after %d requests to the endpoint, want unknown after at least 2", r, hits.Load())
	}
}
