package integration

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/gateway"
	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/standin"
)

// shortPause is shorter than a session minus the delay of its renewal. longPause
// is longer than any session.
const (
	shortPause = 700 * time.Millisecond
	longPause  = 3 * time.Second
)

// pauseTraffic has timeouts longer than shortPause, and a rate at which a site can
// work off the requests that wait after a pause.
var pauseTraffic = TrafficOptions{Rate: 100, Bookings: 0.2, Repeat: 0.3, Timeout: 2 * time.Second}

// TestAllStandStill pauses all processes except the callers for less than a
// session, three times. Ownership must survive this, also without the store: every
// call sent before, during or after a pause must be answered.
func TestAllStandStill(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault standin.Faults
	}{
		{"StoreWorks", standin.Faults{}},
		{"StoreDown", standin.Faults{Down: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			withoutMachinePause(t, shortPause, func(t *testing.T, s *Site) func() {
				tr := s.StartCallers(pauseTraffic)
				tr.Await("requests before", 150, Any)
				s.TableFaults(tc.fault)
				first := len(tr.Ended())
				for range 3 {
					s.PauseAll(shortPause)
					tr.Await("requests after a pause", 150, Any)
				}
				last := len(tr.Ended())
				s.TableFaults(standin.Faults{})
				finishTraffic(t, s, tr)
				return func() {
					calls := CountOutcomes(tr.Answerable(tr.Ended()[first:last]), Call)
					t.Log("calls:", calls)
					if calls.Answered == 0 || calls.NotRun+calls.Unknown > 0 {
						t.Errorf("calls with pauses, want all answered: %s", calls)
					}
				}
			})
		})
	}
}

// TestAllPausedPastTheirSessions pauses all processes except the callers for longer
// than a session. A host must not use its shards until it has read the table: with
// the store down it must refuse calls as not run. Once the store is available,
// requests must be served again without duplicate runs or exceeded capacity.
func TestAllPausedPastTheirSessions(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	tr := s.StartCallers(pauseTraffic)
	tr.Await("requests before", 150, Any)
	s.PauseAll(longPause)
	tr.Await("calls answered after the pause", 100, both(Call, Answered))
	s.WaitShardsHeld()

	s.TableFaults(standin.Faults{Down: true})
	s.WaitUntil("all hosts report the store as unavailable", s.allSeeStoreDown)
	s.PauseAll(longPause)
	resumedAt := time.Now()
	tr.Await("calls refused since no host owns the endpoints", 50, func(x load.Exchange) bool {
		return x.Outcome == outcome.NotRun && x.Reason == gateway.ReasonUnserved
	})
	for _, x := range tr.Ended() {
		if x.Sent.After(resumedAt) && Answered(x) {
			t.Fatalf("request %s was answered while no host could confirm its ownership", x.ID)
		}
	}
	s.TableFaults(standin.Faults{})
	finishTraffic(t, s, tr)
}

// allSeeStoreDown reports whether every host reports the store as unavailable.
func (s *Site) allSeeStoreDown() bool {
	for _, h := range s.Hosts {
		if status, err := h.Status(); err != nil || status.StoreOK {
			return false
		}
	}
	return true
}
