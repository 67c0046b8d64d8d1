package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
)

// stubPeer is a simulated peer. It answers forwarded requests after work, up
// to slots at a time, and reports its free slots in each reply.
type stubPeer struct {
	slots, running atomic.Int64
	work           time.Duration
}

func (p *stubPeer) serve(ctx context.Context, _ string, _ func(any) error) (any, error) {
	defer p.running.Add(-1)
	if p.running.Add(1) > p.slots.Load() {
		return callReply{Kind: outcome.NotRun, Reason: ReasonNoSlot}, nil
	}
	select {
	case <-time.After(p.work):
	case <-ctx.Done():
	}
	return callReply{Kind: outcome.Answered, Status: http.StatusOK, Free: int(p.slots.Load() - p.running.Load() + 1)}, nil
}

// sendDigests sends digests to a host until the context ends.
func (p *stubPeer) sendDigests(ctx context.Context, to *host) {
	tick := time.NewTicker(digestInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			to.receiveDigest(int(p.slots.Load() - p.running.Load()))
			to.mu.Lock()
			to.serveQueues()
			to.mu.Unlock()
		}
	}
}

// newHostWithPeer returns host a, which owns no slots, with peer b.
func newHostWithPeer(t *testing.T, p *stubPeer) *host {
	t.Helper()
	n := peernet.New()
	a := newHost(t, n, "a", nil)
	a.SetEndpoints([]routing.Endpoint{{Name: "e1", Service: testService, Shard: "e1", Slots: 4, Connections: 32}})
	n.Port("b").Handle(MethodCall, p.serve)
	a.receiveDigest(int(p.slots.Load()))
	return a
}

// receiveDigest records a digest of peer b.
func (h *host) receiveDigest(free int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers.Update(time.Now(), "b", "z1", map[string]int{testService: free}, true)
}

// callAll sends concurrent requests with the given timeout and returns how
// many were answered.
func (h *host) callAll(t *testing.T, requests int, limit time.Duration) int {
	t.Helper()
	var answered atomic.Int64
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			req := post("x")
			req.Deadline = time.Now().Add(limit)
			if _, r := h.Call(t.Context(), req); r.Kind == outcome.Answered {
				answered.Add(1)
			}
		})
	}
	all.Wait()
	return int(answered.Load())
}

// TestForwardReplyServesQueue checks that free slots reported in a peer's
// replies are assigned to waiting requests without a further digest.
func TestForwardReplyServesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &stubPeer{work: 10 * time.Millisecond}
		p.slots.Store(1)
		a := newHostWithPeer(t, p)
		const requests = 20
		if n := a.callAll(t, requests, time.Second); n != requests {
			t.Errorf("%d of %d requests answered", n, requests)
		}
	})
}

// occupySlots acquires the host's own slots and records failed requests of one
// second for them.
func (h *host) occupySlots(t *testing.T, slots int) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for range slots {
		s := h.pool.Acquire(time.Now(), testService, h.grants.Snapshot(), h.rng)
		if s == nil {
			t.Fatal("no free slot")
		}
		h.pool.WriteDone(s)
		h.pool.Observe(time.Now(), s, routing.Result{Latency: time.Second, Sent: true, Failed: true})
	}
}

// TestForwardFromStalledHost checks that a host whose only endpoint hangs
// forwards a burst to a peer's free slots instead of refusing it.
func TestForwardFromStalledHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &stubPeer{work: 20 * time.Millisecond}
		p.slots.Store(4)
		a := newHostWithPeer(t, p)
		a.grants.set(ownership.Full, "e1")
		a.occupySlots(t, 4)
		for range 100 {
			if n := a.callAll(t, 1, time.Second); n != 1 {
				t.Fatal("single request was not answered")
			}
		}
		ctx, stop := context.WithCancel(t.Context())
		var digests sync.WaitGroup
		defer digests.Wait()
		defer stop()
		digests.Go(func() { p.sendDigests(ctx, a) })
		const burst = 12
		if n := a.callAll(t, burst, time.Second); n != burst {
			t.Errorf("%d of %d requests answered", n, burst)
		}
	})
}
