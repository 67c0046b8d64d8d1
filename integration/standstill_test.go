package integration

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/gateway"
	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/standin"
)

// A pause that a session outlasts, with what a renewal may be late, and one
// that outlasts every session.
const (
	shortPause = 700 * time.Millisecond
	longPause  = 3 * time.Second
)

// pausing is traffic whose calls outlast a short pause, and that a site can
// catch up with after one.
var pausing = TrafficOptions{Rate: 100, Bookings: 0.2, Repeat: 0.3, Timeout: 2 * time.Second}

// TestAllStandStill stops all entry hosts, the store, endpoints and workers at
// once for less than a session, three times, while callers go on. Ownership
// holds through it, also without the store: every call is answered, those that
// were sent before or during the pause as well as those after it.
func TestAllStandStill(t *testing.T) {
	for _, one := range []struct {
		name  string
		fault standin.Faults
	}{
		{"StoreWorks", standin.Faults{}},
		{"StoreDown", standin.Faults{Down: true}},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			undisturbed(t, shortPause, func(t *testing.T, s *Site) func() {
				tr := s.StartCallers(pausing)
				tr.Await("requests before", 150, Any)
				s.TableFaults(one.fault)
				from := len(tr.Ended())
				for range 3 {
					s.PauseAll(shortPause)
					tr.Await("requests after a pause", 150, Any)
				}
				to := len(tr.Ended())
				s.TableFaults(standin.Faults{})
				finishPartition(t, s, tr)
				return func() {
					calls := CountOutcomes(tr.Answerable(tr.Ended()[from:to]), Call)
					t.Log("calls:", calls)
					if calls.Answered == 0 || calls.NotRun+calls.Unknown > 0 {
						t.Errorf("calls: %s", calls)
					}
				}
			})
		})
	}
}

// TestAllStandStillPastTheirSessions stops everything for longer than a session.
// No host can know that it still owns its shards until it has read the table: with
// the store down calls are refused at once as not run, since a second owner would
// be worse. Once the store answers, all is served again, and nothing ran twice or
// beyond what endpoints and workers hold.
func TestAllStandStillPastTheirSessions(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	tr := s.StartCallers(pausing)
	tr.Await("requests before", 150, Any)
	s.PauseAll(longPause)
	tr.Await("calls answered after the pause", 100, both(Call, Answered))
	s.WaitShardsHeld()

	s.TableFaults(standin.Faults{Down: true})
	s.WaitUntil("the hosts know that the store is down", s.storeKnownDown)
	s.PauseAll(longPause)
	woken := time.Now()
	tr.Await("calls refused since nobody may serve", 50, func(x load.Exchange) bool {
		return x.Outcome == outcome.NotRun && x.Reason == gateway.ReasonUnserved
	})
	for _, x := range tr.Ended() {
		if x.Sent.After(woken) && Answered(x) {
			t.Fatalf("request %s was answered by hosts that can't know what they own", x.ID)
		}
	}
	s.TableFaults(standin.Faults{})
	finishPartition(t, s, tr)
}

// storeKnownDown reports whether every host knows that the store is away.
func (s *Site) storeKnownDown() bool {
	for _, h := range s.Hosts {
		if status, err := h.Status(); err != nil || status.StoreOK {
			return false
		}
	}
	return true
}
