package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/internal/pipenet"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
)

const (
	overdueSlots = 4
	overdueWork  = 100 * time.Millisecond
)

// pausableEndpoint is an endpoint that begins no request while it stands still. It
// never answers requests for "/lost".
type pausableEndpoint struct {
	running pauseGate

	mu              sync.Mutex
	inProgress, max int
}

func (e *pausableEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.running.wait()
	e.add(1)
	pause.For(context.WithoutCancel(r.Context()), overdueWork)
	e.add(-1)
	if r.URL.Path == "/lost" {
		<-r.Context().Done()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *pausableEndpoint) add(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inProgress += n
	e.max = max(e.max, e.inProgress)
}

// newHostOf returns a host that owns an endpoint with the handler.
func newHostOf(t *testing.T, handler http.Handler) *host {
	t.Helper()
	l := pipenet.Listen()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	h := newHost(t, nil, "a", func(o *Options) {
		o.Calls.RetryBudget = 0
		o.Dial = func(context.Context, string, string) (net.Conn, error) { return l.Dial(), nil }
	})
	h.SetEndpoints([]routing.Endpoint{{
		Name: "e", Service: testService, Address: "e:1", Zone: "z1", Shard: "e", Slots: overdueSlots, Connections: 8 * overdueSlots,
	}})
	h.grants.set(ownership.Full, "e")
	return h
}

// peak returns the largest number of requests that the endpoint worked on at once.
func (e *pausableEndpoint) peak() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.max
}

// callN sends n requests at once and returns how many got an answer within timeout.
func (h *host) callN(ctx context.Context, n int, target string, timeout time.Duration) int {
	var calls sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for range n {
		calls.Go(func() {
			req := get(target)
			req.Deadline = time.Now().Add(timeout)
			if _, r := h.Call(ctx, req); r.Kind == outcome.Answered {
				mu.Lock()
				defer mu.Unlock()
				answered++
			}
		})
	}
	calls.Wait()
	return answered
}

// TestNoSlotIsFreedWhileEndpointStandsStill has an endpoint, alone, stand still for
// longer than MaxRun with a request in each slot, while callers send more. It must not
// work on more requests than it has slots when it goes on, and must serve again.
func TestNoSlotIsFreedWhileEndpointStandsStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &pausableEndpoint{}
		h := newHostOf(t, e)
		var calls sync.WaitGroup
		calls.Go(func() {
			pause.For(t.Context(), 10*time.Millisecond)
			for range 4 {
				h.callN(t.Context(), overdueSlots, "/", 10*time.Second)
			}
		})
		e.running.pauseFor(t.Context(), 30*time.Second)
		calls.Wait()
		pause.For(t.Context(), time.Minute) // it may have been ejected
		if n := h.callN(t.Context(), 1, "/", time.Second); n != 1 {
			t.Error("request after the pause has no answer")
		}
		if n := e.peak(); n > overdueSlots {
			t.Errorf("endpoint worked on %d requests at once with %d slots", n, overdueSlots)
		}
		if n := h.inUse(); n != 0 {
			t.Errorf("%d slots in use after the pause, want 0", n)
		}
		if err := h.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	})
}

// TestSlotOfLostRequestIsFreed checks that a request that the endpoint never answers
// doesn't keep its slot for good: an answer to a later one shows that it has begun.
func TestSlotOfLostRequestIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &pausableEndpoint{}
		h := newHostOf(t, e)
		h.callN(t.Context(), overdueSlots-1, "/lost", time.Second)
		pause.For(t.Context(), time.Minute)
		if n := h.inUse(); n != overdueSlots-1 {
			t.Fatalf("%d slots in use without any sign of the endpoint, want %d", n, overdueSlots-1)
		}
		if n := h.callN(t.Context(), 1, "/", time.Second); n != 1 {
			t.Fatal("no answer to the later request")
		}
		pause.For(t.Context(), h.opt.MaxRun-time.Millisecond)
		if n := h.inUse(); n != overdueSlots-1 {
			t.Errorf("%d slots in use before MaxRun has passed since the later answer, want %d", n, overdueSlots-1)
		}
		pause.For(t.Context(), 2*time.Millisecond)
		if n := h.inUse(); n != 0 {
			t.Errorf("%d slots in use after MaxRun has passed since the later answer, want 0", n)
		}
		if err := h.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	})
}

// TestStalledAnswerIsCutOff checks that an answer of which the rest doesn't come ends for
// its caller within the time limit of an exchange, and that its slot is freed.
func TestStalledAnswerIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHostOf(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(make([]byte, 2*maxBufferedResponse))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}))
		begun := time.Now()
		resp, refusal := h.Call(t.Context(), get("/"))
		if refusal.Kind != outcome.Answered {
			t.Fatalf("call: %+v", refusal)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err == nil {
			t.Error("the answer counts as whole")
		}
		if took := time.Since(begun); took > dialTimeout+h.opt.MaxRun {
			t.Errorf("the answer ended after %v, want %v at most", took, dialTimeout+h.opt.MaxRun)
		}
		pause.For(t.Context(), h.opt.MaxRun)
		if n := h.inUse(); n != 0 {
			t.Errorf("%d slots in use, want 0", n)
		}
		if err := h.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	})
}
