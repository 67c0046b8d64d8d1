package gateway

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/outcome"
)

// TestAllZonesClosed checks that calls of a service whose endpoints are all in closed
// availability zones are refused at once, those that wait as well, while a request that
// runs is answered; and that calls are answered once the zone is open.
func TestAllZonesClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHostOf(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			pause.For(r.Context(), time.Second)
			w.WriteHeader(http.StatusNoContent)
		}))
		var calls sync.WaitGroup
		var mu sync.Mutex
		refused, answered := 0, 0
		for range 2 * overdueSlots {
			calls.Go(func() {
				_, r := h.Call(t.Context(), get("/"))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case r.Kind == outcome.Answered:
					answered++
				case r.Kind == outcome.NotRun && r.RetryAfter > 0:
					refused++
				}
			})
		}
		pause.For(t.Context(), 100*time.Millisecond)
		h.SetClosedZones([]string{"z1"})
		begun := time.Now()
		if _, r := h.Call(t.Context(), get("/")); r.Kind != outcome.NotRun || r.Reason != ReasonZonesClosed || r.RetryAfter == 0 {
			t.Errorf("call: %+v, want it not run, with the reason %s and a retry time", r, ReasonZonesClosed)
		}
		if waited := time.Since(begun); waited > 0 {
			t.Errorf("refused after %v, want at once", waited)
		}
		calls.Wait()
		if answered == 0 || refused == 0 || answered+refused != 2*overdueSlots {
			t.Errorf("%d of %d calls answered and %d refused, want those that ran answered and the others refused", answered, 2*overdueSlots, refused)
		}
		h.SetClosedZones(nil)
		if n := h.callN(t.Context(), 1, "/", 5*time.Second); n != 1 {
			t.Error("no answer after the zone was opened")
		}
		if err := h.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	})
}
