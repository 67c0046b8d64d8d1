package integration

import (
	"testing"

	"github.com/fireflygate/fireflygate/standin"
)

// TestRollingDrain drains and restarts each entry host in turn under load. No
// request may be lost. Requests take longer than the balancer's poll interval, so
// that some are in flight throughout each drain.
func TestRollingDrain(t *testing.T) {
	t.Parallel()
	s := New(t, Options{StandIns: func(c *standin.Config) {
		c.Services[0].Slots, c.Services[0].Work = 16, standin.WorkTime{MedianMS: 500, Sigma: 0.1, Seed: 1}
	}})
	tr := s.StartCallers(TrafficOptions{Rate: 80, Bookings: 0.3, Repeat: 0.3, Timeout: 2000e6})
	tr.Await("requests before", 80, Any)
	for _, h := range s.Hosts {
		s.Drain(h)
		tr.Await("requests without "+h.Name, 40, Any)
		s.Restart(h)
		s.WaitShardsHeld()
		tr.Await("requests with the host restarted", 40, Any)
	}
	tr.Stop()
	all := CountOutcomes(tr.Ended(), Any)
	t.Log(all)
	if all.NotRun+all.Unknown > 0 {
		t.Errorf("requests were lost, want all answered: %s", all)
	}
	s.Check()
}
