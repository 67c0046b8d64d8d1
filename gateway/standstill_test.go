package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
)

// TestPauseDoesNotSlowAdmission replays how calls were refused that could have
// been answered. All processes of a site stood still for 1.3 s, less than a
// session, so ownership held. Each exchange that was under way counted the pause
// as its endpoint's latency: after that 74 to 95 of some 750 calls with two seconds
// left were refused as "deadline_unreachable" while slots were free.
func TestPauseDoesNotSlowAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause, work, slots = 1300 * time.Millisecond, 20 * time.Millisecond, 4
		h := newHost(t, nil, "a", nil)
		h.SetEndpoints([]routing.Endpoint{{Name: "e", Service: svc, Shard: "e", Slots: 2 * slots, Connections: 64}})
		h.shares.set(ownership.Full, "e")
		h.beat()
		for range 50 {
			h.exchanged(t, routing.Result{Sent: true}, work)
		}
		var under []*exchange
		for range slots {
			under = append(under, h.underWay(t))
		}
		<-time.After(pause) // nobody beats
		for _, x := range under[1:] {
			x.observe(routing.Result{Sent: true})
		}
		under[0].observe(routing.Result{Sent: true, Failed: true}) // its timer was faster than its answer
		h.beat()
		perSecond, each := h.pool.Rate(time.Now(), svc, h.shares.Snapshot())
		if each > 2*work {
			t.Errorf("a request is taken to last %v after the pause, want about %v", each, work)
		}
		// The callers of 1.3 s at 20 a second wait, and all could be answered.
		q := routing.NewQueue(h.calls().Queue)
		for range 25 {
			q.Push(&routing.Ticket{QueuedAt: time.Now()})
		}
		if a := q.Admit(time.Now(), perSecond, each, 2*time.Second); !a.Admitted {
			t.Errorf("refused as %s with two seconds left", a.Reason)
		}
		if h.pool.Ejected(time.Now()) > 0 {
			t.Error("the endpoint was ejected for the pause")
		}
	})
}

// TestSlowEndpointIsStillSeen has an endpoint take as long while this process
// runs: that is its latency.
func TestSlowEndpointIsStillSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t, nil, "a", nil)
		h.SetEndpoints([]routing.Endpoint{{Name: "e", Service: svc, Shard: "e", Slots: 8, Connections: 64}})
		h.shares.set(ownership.Full, "e")
		for range 50 {
			x := h.underWay(t)
			for range 10 {
				h.beat()
				<-time.After(digestInterval)
			}
			x.observe(routing.Result{Sent: true})
			h.mu.Lock()
			h.release(x.slot)
			h.mu.Unlock()
		}
		if _, each := h.pool.Rate(time.Now(), svc, h.shares.Snapshot()); each < 400*time.Millisecond {
			t.Errorf("a request is taken to last %v, want about 500 ms", each)
		}
	})
}

// underWay takes a slot for an exchange that begins now.
func (h *host) underWay(t *testing.T) *exchange {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.pool.Acquire(time.Now(), svc, h.shares.Snapshot(), h.rng)
	if s == nil {
		t.Fatal("no free slot")
	}
	h.pool.WriteDone(s)
	return &exchange{g: h.Gateway, slot: s, start: time.Now()}
}

// exchanged makes an exchange that takes so long, while this process runs.
func (h *host) exchanged(t *testing.T, r routing.Result, took time.Duration) {
	t.Helper()
	x := h.underWay(t)
	<-time.After(took)
	h.beat()
	x.observe(r)
	h.mu.Lock()
	h.release(x.slot)
	h.mu.Unlock()
}
