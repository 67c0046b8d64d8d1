package load

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestOverdueRequestsAreSkipped checks that requests due during a pause of the
// sender are skipped and not sent as a burst.
func TestOverdueRequestsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, pause = 100, 2 * time.Second
		paused := false
		var latest atomic.Int64 // the largest delay of a request after it was due
		s := Run(t.Context(), Config{
			Targets: func() []string { return []string{"http://127.0.0.1:1"} }, // refuses connections
			Rate: func(since time.Duration) float64 {
				if since > time.Second && !paused {
					paused = true
					<-time.After(pause)
				}
				return rate
			},
			Duration: 5 * time.Second, Timeout: time.Second, MaxInFlight: 1000, Seed: 1,
			Observe: func(x Exchange) { latest.Store(max(latest.Load(), int64(x.Sent.Sub(x.Due)))) },
		})
		if late := time.Duration(latest.Load()); late >= maxLateness {
			t.Errorf("a request was sent %v after it was due, want less than %v", late, maxLateness)
		}
		due := int64(rate * (pause - maxLateness).Seconds())
		if s.Skipped < due*8/10 || s.Skipped > due*12/10 {
			t.Errorf("%d requests skipped, want about the %d that were due during the pause", s.Skipped, due)
		}
		if all := s.Sent + s.Skipped; all < 450 || all > 550 {
			t.Errorf("%d requests sent or skipped, want about 500", all)
		}
	})
}

// TestRunStopsWithContext checks that no requests are sent after the context has
// ended.
func TestRunStopsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		s := Run(ctx, Config{
			Targets: func() []string { return []string{"http://127.0.0.1:1"} },
			Rate:    func(time.Duration) float64 { return 50 }, Duration: time.Hour, Timeout: time.Second, MaxInFlight: 1000, Seed: 1,
		})
		if s.Sent < 20 || s.Sent > 80 {
			t.Errorf("%d requests sent in 1 s at 50 per second, want about 50", s.Sent)
		}
	})
}
