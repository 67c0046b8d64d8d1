package headroom_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/headroom"
)

// TestHeadroom checks the reserved capacity during a burst of short tasks and
// after it.
func TestHeadroom(t *testing.T) {
	now := time.Unix(100, 0)
	var h headroom.Tracker
	if got := h.Headroom(0); got != 0 {
		t.Errorf("headroom without demand %d; want 0", got)
	}
	h.Observe(now, 100_000, 20_000)
	if got := h.Headroom(100_000); got != 50_000 {
		t.Errorf("headroom in a burst with 100 cores in use and 20 requested %d; want 50000", got)
	}
	// Between bursts most of the capacity stays reserved.
	now = now.Add(6 * time.Second)
	h.Observe(now, 0, 0)
	if got := h.Headroom(0); got != 75_000 {
		t.Errorf("headroom 6 s after the burst %d; want 75000", got)
	}
	// After a minute without short tasks hardly any stays reserved.
	now = now.Add(time.Minute)
	h.Observe(now, 0, 0)
	if got := h.Headroom(0); got > 100 {
		t.Errorf("headroom a minute after the burst %d; want at most 100", got)
	}
}
