package routing

import (
	"testing"
	"time"
)

// TestStartDeadline checks the time that must be left when a request is started.
func TestStartDeadline(t *testing.T) {
	deadline := time.Unix(100, 0)
	for _, tc := range []struct {
		name                       string
		given, serviceTime, margin time.Duration
	}{
		{"short work", 2 * time.Second, 20 * time.Millisecond, 40 * time.Millisecond},
		{"unknown work", 2 * time.Second, 0, 20 * time.Millisecond},
		{"work longer than the time given", time.Second, 3 * time.Second, 500 * time.Millisecond},
		{"no time given", 0, 20 * time.Millisecond, 0},
	} {
		if got := deadline.Sub(StartDeadline(deadline, tc.given, tc.serviceTime)); got != tc.margin {
			t.Errorf("%s: %v must be left, want %v", tc.name, got, tc.margin)
		}
	}
}
