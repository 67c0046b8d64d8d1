package headroom_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/headroom"
)

// TestKeep replays short work that comes in bursts.
func TestKeep(t *testing.T) {
	now := time.Unix(100, 0)
	var h headroom.Tracker
	if got := h.Headroom(0); got != 0 {
		t.Errorf("with nothing seen, %d is kept; want 0", got)
	}
	h.Observe(now, 100_000, 20_000)
	if got := h.Headroom(100_000); got != 50_000 {
		t.Errorf("in a burst that uses 100 and waits for 20 cores, %d is kept; want 50000", got)
	}
	// Between bursts most of the room stays kept.
	now = now.Add(6 * time.Second)
	h.Observe(now, 0, 0)
	if got := h.Headroom(0); got != 75_000 {
		t.Errorf("6 s after the burst %d is kept; want 75000", got)
	}
	// After a minute without any, nearly none is.
	now = now.Add(time.Minute)
	h.Observe(now, 0, 0)
	if got := h.Headroom(0); got > 100 {
		t.Errorf("a minute after the burst %d is kept; want next to nothing", got)
	}
}
