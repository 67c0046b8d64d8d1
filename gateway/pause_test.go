package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
)

// TestPauseIsNotEndpointLatency checks that a pause of the process is not
// counted as latency or failure of its endpoints, which would make admission
// refuse calls while slots are free.
func TestPauseIsNotEndpointLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause, work, slots = 1300 * time.Millisecond, 20 * time.Millisecond, 4
		h := newHost(t, nil, "a", nil)
		h.SetEndpoints([]routing.Endpoint{{Name: "e", Service: testService, Shard: "e", Slots: 2 * slots, Connections: 64}})
		h.grants.set(ownership.Full, "e")
		h.recordTick()
		for range 50 {
			h.completeExchange(t, routing.Result{Sent: true}, work)
		}
		var exchanges []*exchange
		for range slots {
			exchanges = append(exchanges, h.startExchange(t))
		}
		<-time.After(pause) // no ticks: the process is paused
		for _, x := range exchanges[1:] {
			x.observe(routing.Result{Sent: true})
		}
		exchanges[0].observe(routing.Result{Sent: true, Failed: true}) // its timeout fired before the answer was read
		h.recordTick()
		perSecond, each := h.pool.Rate(time.Now(), testService, h.grants.Snapshot())
		if each > 2*work {
			t.Errorf("estimated request duration %v after the pause, want about %v", each, work)
		}
		// 25 requests arrived during the pause; all of them fit into two
		// seconds.
		q := routing.NewQueue(h.callSettings().Queue)
		for range 25 {
			q.Push(&routing.Ticket{QueuedAt: time.Now()})
		}
		if a := q.Admit(time.Now(), perSecond, each, 2*time.Second); !a.Admitted {
			t.Errorf("request with two seconds left refused: %s", a.Reason)
		}
		if h.pool.Ejected(time.Now()) > 0 {
			t.Error("endpoint ejected because of the pause")
		}
	})
}

// TestSlowEndpointIsLatency checks that time during which the process runs
// counts as latency of the endpoint.
func TestSlowEndpointIsLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t, nil, "a", nil)
		h.SetEndpoints([]routing.Endpoint{{Name: "e", Service: testService, Shard: "e", Slots: 8, Connections: 64}})
		h.grants.set(ownership.Full, "e")
		for range 50 {
			x := h.startExchange(t)
			for range 10 {
				h.recordTick()
				<-time.After(digestInterval)
			}
			x.observe(routing.Result{Sent: true})
			h.mu.Lock()
			h.releaseSlot(x.slot)
			h.mu.Unlock()
		}
		if _, each := h.pool.Rate(time.Now(), testService, h.grants.Snapshot()); each < 400*time.Millisecond {
			t.Errorf("estimated request duration %v, want about 500 ms", each)
		}
	})
}

// TestPeerRateSurvivesPause checks that after a pause the requests that peers serve
// for this host count in its estimates as before it.
func TestPeerRateSurvivesPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t, nil, "a", nil)
		for range 40 {
			h.recordTick()
			h.mu.Lock()
			h.queue(testService).ObservePeer(h.pauses.RunningTime(time.Now()), 20*time.Millisecond)
			h.mu.Unlock()
			<-time.After(digestInterval)
		}
		rate := func() float64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			perSecond, _ := h.queue(testService).DrainRate(h.pauses.RunningTime(time.Now()), 1, time.Millisecond)
			return perSecond - 1
		}
		h.recordTick()
		before := rate()
		<-time.After(700 * time.Millisecond) // no ticks: the process is paused
		if during := rate(); during < 0.95*before {
			t.Errorf("before the next tick: %.1f requests per second from peers, want %.1f as before the pause", during, before)
		}
		h.recordTick()
		if after := rate(); after < 0.95*before {
			t.Errorf("after the pause: %.1f requests per second from peers, want %.1f as before", after, before)
		}
	})
}

// startExchange acquires a slot and returns an exchange that begins now.
func (h *host) startExchange(t *testing.T) *exchange {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.pool.Acquire(time.Now(), testService, h.grants.Snapshot(), h.rng)
	if s == nil {
		t.Fatal("no free slot")
	}
	h.pool.WriteDone(s)
	return &exchange{g: h.Gateway, slot: s, start: time.Now()}
}

// completeExchange runs an exchange that takes the given time while the
// process runs.
func (h *host) completeExchange(t *testing.T, r routing.Result, took time.Duration) {
	t.Helper()
	x := h.startExchange(t)
	<-time.After(took)
	h.recordTick()
	x.observe(r)
	h.mu.Lock()
	h.releaseSlot(x.slot)
	h.mu.Unlock()
}
