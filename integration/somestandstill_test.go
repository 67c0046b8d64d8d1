package integration

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/outcome"
)

// TestSomeStandStill stops half of the entry hosts past their sessions, as a
// stall of the machine that they share does, and lets them go on. What was under
// way at them can't be answered by anybody. All that callers then send to the other
// hosts, once these own all endpoints, gets an outcome that is known, and the
// hosts that were stopped serve again.
func TestSomeStandStill(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	tr := s.StartCallers(TrafficOptions{Rate: 100, Bookings: 0.2, Timeout: 2 * time.Second})
	tr.Await("requests before", 150, Answered)
	stopped := s.Hosts[:len(s.Hosts)/2]
	running := func(x load.Exchange) bool {
		return !slices.ContainsFunc(stopped, func(h *Host) bool { return at(h)(x) })
	}
	for _, h := range stopped {
		s.Pause(h)
	}
	s.WaitUntil("others own all endpoints", s.ownedWithout(stopped[0]))
	from := time.Now()
	tr.Await("requests at the hosts that run", 200, both(running, Answered))
	to := time.Now()
	for _, h := range stopped {
		s.Resume(h)
	}
	for _, h := range stopped {
		tr.Await("requests at a host that was stopped", 30, both(at(h), Answered))
	}
	s.WaitShardsHeld()
	tr.Stop()
	t.Log(CountOutcomes(tr.Ended(), Any))
	for _, x := range tr.Ended() {
		if running(x) && x.Sent.After(from) && x.Sent.Before(to) && x.Outcome == outcome.Unknown && !x.Retried {
			t.Errorf("request %s at a host that ran: unknown, %s", x.ID, x.Reason)
		}
	}
	s.Check()
}
