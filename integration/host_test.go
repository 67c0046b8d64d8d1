package integration

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/outcome"
)

// TestHostKilled kills an entry host under load. Only requests in flight there may
// have an unknown outcome, and a resent booking must return the stored answer or
// unknown, but never run again.
func TestHostKilled(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	tr := s.StartCallers(TrafficOptions{Bookings: 0.5, Repeat: 0.3})
	tr.Await("requests before", 400, Any)
	killedHost, killedAt := s.Hosts[0], time.Now()
	s.Kill(killedHost)
	before := tr.Ended()
	s.WaitUntil("others own all endpoints", s.endpointsOwnedWithout(killedHost))
	tr.Await("requests after", 400, Any)
	unknown := unknownAtOtherHosts(tr.Ended(), killedHost, killedAt)
	if n := len(unknown); n > 0 {
		t.Errorf("%d requests at other hosts have an unknown outcome, want none, such as %+v", n, unknown[0])
	}
	resendBookings(t, tr, before, s.Hosts[1:])
	s.Restart(killedHost)
	s.WaitShardsHeld()
	tr.Await("requests after the restart", 200, Answered)
	tr.Stop()
	t.Log(CountOutcomes(tr.Ended(), Any))
	s.Check()
}

// unknownAtOtherHosts returns the requests with an unknown outcome that were sent
// to other hosts after the kill, without resent bookings.
func unknownAtOtherHosts(exchanges []load.Exchange, killedHost *Host, killedAt time.Time) []load.Exchange {
	var found []load.Exchange
	for _, x := range exchanges {
		if x.Outcome == outcome.Unknown && x.Target != killedHost.CallersURL && x.Sent.After(killedAt) && !x.Retried {
			found = append(found, x)
		}
	}
	return found
}

// resendBookings resends bookings to hosts. A booking that was answered must be
// answered with the same body when resent, or have an unknown outcome.
func resendBookings(t *testing.T, tr *Traffic, exchanges []load.Exchange, hosts []*Host) {
	t.Helper()
	const maxResent = 60
	sent := 0
	for _, x := range exchanges {
		if x.Key == "" || x.Retried || sent == maxResent {
			continue
		}
		sent++
		resent := tr.Resend(x, hosts[sent%len(hosts)])
		switch {
		case x.Outcome == outcome.NotRun, resent.Outcome == outcome.Unknown:
		case x.Outcome == outcome.Unknown && resent.Outcome == outcome.NotRun:
		case resent.Outcome != outcome.Answered || x.Outcome == outcome.Answered && string(resent.Answer) != string(x.Answer):
			t.Errorf("booking %s: outcome %s first, %s when resent: %s", x.Key, x.Outcome, resent.Outcome, resent.Reason)
		}
	}
	if sent == 0 {
		t.Error("no booking was resent, want at least one")
	}
}

// TestHostPaused pauses an entry host past its session with requests in flight,
// and resumes it once others have taken over. It must not exceed the slots.
func TestHostPaused(t *testing.T) {
	t.Parallel()
	s := New(t, Options{StandIns: slowEndpoints})
	tr := s.StartCallers(saturatingTraffic)
	tr.Await("requests before", 300, Answered)
	paused := s.Hosts[1]
	s.Pause(paused)
	s.WaitUntil("others own all endpoints", s.endpointsOwnedWithout(paused))
	tr.Await("requests during the pause", 300, Answered)
	s.Resume(paused)
	tr.Await("requests at the host that was paused", 100, both(at(paused), Answered))
	s.WaitShardsHeld()
	tr.Stop()
	t.Log(CountOutcomes(tr.Ended(), Any))
	s.Check()
}
