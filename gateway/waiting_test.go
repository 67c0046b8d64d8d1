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

// peerSlots is a peer without a process: it answers forwarded requests after
// work, so many at a time, and says in each reply what is free.
type peerSlots struct {
	slots, running atomic.Int64
	work           time.Duration
}

func (p *peerSlots) serve(ctx context.Context, _ string, _ func(any) error) (any, error) {
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

// tell sends digests until the context ends.
func (p *peerSlots) tell(ctx context.Context, to *host) {
	tick := time.NewTicker(digestInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			to.hears(int(p.slots.Load() - p.running.Load()))
			to.mu.Lock()
			to.serveQueues()
			to.mu.Unlock()
		}
	}
}

// besidePeer returns host a, without slots of its own, beside peer b.
func besidePeer(t *testing.T, p *peerSlots) *host {
	t.Helper()
	n := peernet.New()
	a := newHost(t, n, "a", nil)
	a.SetEndpoints([]routing.Endpoint{{Name: "e1", Service: svc, Shard: "e1", Slots: 4, Connections: 32}})
	n.Port("b").Handle(MethodCall, p.serve)
	a.hears(int(p.slots.Load()))
	return a
}

// hears takes a digest of peer b in.
func (h *host) hears(free int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers.Update(time.Now(), "b", "z1", map[string]int{svc: free}, true)
}

// callAll sends requests that are due within limit all at once, and returns
// how many were answered.
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

// TestReplyServesTheQueue has one digest only: what a peer's replies say of
// its free slots is given to those that wait.
func TestReplyServesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peerSlots{work: 10 * time.Millisecond}
		p.slots.Store(1)
		a := besidePeer(t, p)
		const requests = 20
		if n := a.callAll(t, requests, time.Second); n != requests {
			t.Errorf("%d of %d answered", n, requests)
		}
	})
}

// stalled fills the host's own slots with requests that hang, and has its
// estimate learn from those that hung before.
func (h *host) stalled(t *testing.T, slots int) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for range slots {
		s := h.pool.Acquire(time.Now(), svc, h.shares.Snapshot(), h.rng)
		if s == nil {
			t.Fatal("no slot to fill")
		}
		h.pool.WriteDone(s)
		h.pool.Observe(time.Now(), s, routing.Result{Latency: time.Second, Sent: true, Failed: true})
	}
}

// TestPeersAnswerForAStalledHost has a host whose only endpoint hangs, beside
// a peer that serves all it is sent: a burst waits for the peer's slots.
func TestPeersAnswerForAStalledHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peerSlots{work: 20 * time.Millisecond}
		p.slots.Store(4)
		a := besidePeer(t, p)
		a.shares.set(ownership.Full, "e1")
		a.stalled(t, 4)
		for range 100 {
			if n := a.callAll(t, 1, time.Second); n != 1 {
				t.Fatal("one at a time was refused")
			}
		}
		ctx, stop := context.WithCancel(t.Context())
		var telling sync.WaitGroup
		defer telling.Wait()
		defer stop()
		telling.Go(func() { p.tell(ctx, a) })
		const burst = 12
		if n := a.callAll(t, burst, time.Second); n != burst {
			t.Errorf("%d of %d answered", n, burst)
		}
	})
}
