package integration

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/outcome"
)

// TestSomeHostsPaused pauses half of the entry hosts past their sessions. Once the
// others own all endpoints, no request to the running hosts may have an unknown
// outcome, and the paused hosts must serve again after they resume.
func TestSomeHostsPaused(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	tr := s.StartCallers(TrafficOptions{Rate: 100, Bookings: 0.2, Timeout: 2 * time.Second})
	tr.Await("requests before", 150, Answered)
	paused := s.Hosts[:len(s.Hosts)/2]
	atRunning := func(x load.Exchange) bool {
		return !slices.ContainsFunc(paused, func(h *Host) bool { return at(h)(x) })
	}
	for _, h := range paused {
		s.Pause(h)
	}
	s.WaitUntil("others own all endpoints", s.endpointsOwnedWithout(paused[0]))
	from := time.Now()
	tr.Await("requests at the running hosts", 200, both(atRunning, Answered))
	to := time.Now()
	for _, h := range paused {
		s.Resume(h)
	}
	for _, h := range paused {
		tr.Await("requests at a resumed host", 30, both(at(h), Answered))
	}
	s.WaitShardsHeld()
	tr.Stop()
	t.Log(CountOutcomes(tr.Ended(), Any))
	for _, x := range tr.Ended() {
		if atRunning(x) && x.Sent.After(from) && x.Sent.Before(to) && x.Outcome == outcome.Unknown && !x.Retried {
			t.Errorf("request %s at a running host has an unknown outcome: %s", x.ID, x.Reason)
		}
	}
	s.Check()
}
