package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
)

// TestCapacityIsNeverExceeded sends far more concurrent requests than slots to
// two hosts that own one endpoint each.
func TestCapacityIsNeverExceeded(t *testing.T) {
	const slots, requests = 3, 300
	var exceeded atomic.Int64
	n := peernet.New()
	a, b := newHost(t, n, "a", nil), newHost(t, n, "b", nil)
	var list []routing.Endpoint
	for _, name := range []string{"e1", "e2"} {
		var running atomic.Int64
		list = append(list, endpoint(t, name, slots, func(http.ResponseWriter, *http.Request) {
			if running.Add(1) > slots {
				exceeded.Add(1)
			}
			<-time.After(time.Millisecond)
			running.Add(-1)
		}))
	}
	for i, h := range []*host{a, b} {
		h.SetEndpoints(list)
		h.grants.set(ownership.Full, list[i].Name)
	}
	a.SetPeers([]PeerHost{{Name: "b", Zone: "z1"}})
	b.SetPeers([]PeerHost{{Name: "a", Zone: "z1"}})
	flushDigests(t, a)
	flushDigests(t, b)
	var answered atomic.Int64
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			if _, r := []*host{a, b}[i%2].Call(t.Context(), post("x")); r.Kind == outcome.Answered {
				answered.Add(1)
			}
		})
	}
	all.Wait()
	if exceeded.Load() > 0 || answered.Load() != requests {
		t.Errorf("capacity exceeded %d times, %d of %d requests answered", exceeded.Load(), answered.Load(), requests)
	}
}

// TestAllSlotsAreUsed checks that a request that has been written leaves the
// write window and lets the next one start.
func TestAllSlotsAreUsed(t *testing.T) {
	var both sync.WaitGroup
	both.Add(2)
	h := newSingleEndpointHost(t, 2, func(http.ResponseWriter, *http.Request) {
		both.Done()
		both.Wait()
	}, nil)
	var all sync.WaitGroup
	for range 2 {
		all.Go(func() {
			if _, r := h.Call(t.Context(), post("x")); r.Kind != outcome.Answered {
				t.Errorf("got %+v, want answered", r)
			}
		})
	}
	all.Wait()
}
