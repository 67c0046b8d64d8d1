package integration

import "testing"

// TestCallsAndBookings sends calls and bookings to a site without faults. All must
// be answered.
func TestCallsAndBookings(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	tr := s.StartCallers(TrafficOptions{Bookings: 0.3, Repeat: 0.5})
	tr.Await("requests", 500, Any)
	sum := tr.Stop()
	if sum.NotRun+sum.Unknown > 0 || sum.Answered < 500 {
		t.Errorf("site without faults: got %+v, want at least 500 answered and no other outcome", sum)
	}
	s.Check()
}
