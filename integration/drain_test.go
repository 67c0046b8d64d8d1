package integration

import "testing"

// TestRollingDrain drains and restarts each entry host in turn under load.
// No request is lost.
func TestRollingDrain(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	tr := s.Callers(TrafficOptions{Bookings: 0.3, Repeat: 0.3})
	tr.Await("requests before", 200, Any)
	for _, h := range s.Hosts {
		s.Drain(h)
		tr.Await("requests without "+h.Name, 100, Any)
		s.Restart(h)
		s.WaitHeld()
		tr.Await("requests with it again", 100, Any)
	}
	tr.Stop()
	all := TallyOf(tr.Ended(), Any)
	t.Log(all)
	if all.NotRun+all.Unknown > 0 {
		t.Errorf("requests were lost: %s", all)
	}
	s.Check()
}
