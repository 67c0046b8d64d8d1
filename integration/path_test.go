package integration

import "testing"

// TestWholePath sends calls and bookings through all processes.
func TestWholePath(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	tr := s.StartCallers(TrafficOptions{Bookings: 0.3, Repeat: 0.5})
	tr.Await("requests", 500, Any)
	sum := tr.Stop()
	if sum.NotRun+sum.Unknown > 0 || sum.Answered < 500 {
		t.Errorf("healthy site: %+v", sum)
	}
	s.Check()
}
