package gateway

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
)

// TestForwardedRequestWaitsForSlot checks that a forwarded request that finds all
// slots in use waits for one instead of going back, that no more wait than get a slot
// within the mean service time, and that one that gets no slot in time goes back.
func TestForwardedRequestWaitsForSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 4
		h := newHost(t, peernet.New(), "a", nil)
		h.SetEndpoints([]routing.Endpoint{{Name: "e", Service: testService, Shard: "e", Slots: slots, Connections: 64}})
		h.grants.set(ownership.Full, "e")
		for range 50 {
			h.completeExchange(t, routing.Result{Sent: true}, 100*time.Millisecond)
		}
		var inUse []*routing.Slot
		for range slots {
			inUse = append(inUse, h.startExchange(t).slot)
		}
		var waiting, back, placed atomic.Int64
		const requests = slots + 2
		for range requests {
			go func() {
				waiting.Add(1)
				defer waiting.Add(-1)
				req := get("/")
				req.forwarded = true
				at, refusal := h.admit(t.Context(), req, nil)
				switch {
				case at.slot != nil:
					placed.Add(1)
				case refusal.Kind == outcome.NotRun && refusal.Reason == ReasonNoSlot:
					back.Add(1)
				default:
					t.Errorf("got %+v, want a slot or %s", refusal, ReasonNoSlot)
				}
			}()
		}
		synctest.Wait()
		if waiting.Load() != slots || back.Load() != requests-slots {
			t.Errorf("%d requests wait, %d went back; want %d and %d", waiting.Load(), back.Load(), slots, requests-slots)
		}
		h.mu.Lock()
		h.releaseSlot(inUse[0])
		h.mu.Unlock()
		synctest.Wait()
		if placed.Load() != 1 {
			t.Errorf("%d requests got the slot that became free, want 1", placed.Load())
		}
		<-time.After(time.Second)
		if waiting.Load() != 0 || back.Load() != requests-1 {
			t.Errorf("%d requests still wait, %d went back; want 0 and %d", waiting.Load(), back.Load(), requests-1)
		}
	})
}
