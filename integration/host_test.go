package integration

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/outcome"
)

// TestHostKilled ends an entry host at once under load. Only what was in
// flight there may be unknown; a booking that is sent again gets what was
// kept of it, or unknown, and never a second run.
func TestHostKilled(t *testing.T) {
	t.Parallel()
	s := New(t, Options{})
	tr := s.StartCallers(TrafficOptions{Bookings: 0.5, Repeat: 0.3})
	tr.Await("requests before", 400, Any)
	dead, at := s.Hosts[0], time.Now()
	s.Kill(dead)
	before := tr.Ended()
	s.WaitUntil("others own all endpoints", s.ownedWithout(dead))
	tr.Await("requests after", 400, Any)
	killed := unknownElsewhere(tr.Ended(), dead, at)
	if n := len(killed); n > 0 {
		t.Errorf("%d requests unknown that were not at the killed host, such as %+v", n, killed[0])
	}
	sendAgain(t, tr, before, s.Hosts[1:])
	s.Restart(dead)
	s.WaitShardsHeld()
	tr.Await("requests after the restart", 200, Answered)
	tr.Stop()
	t.Log(CountOutcomes(tr.Ended(), Any))
	s.Check()
}

// unknownElsewhere returns unknown requests that no process of the dead host
// can have had: those begun after its death at another host, but for the
// repeats of bookings.
func unknownElsewhere(exchanges []load.Exchange, dead *Host, at time.Time) []load.Exchange {
	var found []load.Exchange
	for _, x := range exchanges {
		if x.Outcome == outcome.Unknown && x.Target != dead.CallersURL && x.Sent.After(at) && !x.Retried {
			found = append(found, x)
		}
	}
	return found
}

// sendAgain repeats bookings at other hosts and compares with what was said
// the first time.
func sendAgain(t *testing.T, tr *Traffic, exchanges []load.Exchange, hosts []*Host) {
	t.Helper()
	const most = 60
	sent := 0
	for _, x := range exchanges {
		if x.Key == "" || x.Retried || sent == most {
			continue
		}
		sent++
		again := tr.Resend(x, hosts[sent%len(hosts)])
		switch {
		case x.Outcome == outcome.NotRun, again.Outcome == outcome.Unknown:
		case x.Outcome == outcome.Unknown && again.Outcome == outcome.NotRun:
		case again.Outcome != outcome.Answered || x.Outcome == outcome.Answered && string(again.Answer) != string(x.Answer):
			t.Errorf("booking %s: %s first, then %s: %s", x.Key, x.Outcome, again.Outcome, again.Reason)
		}
	}
	if sent == 0 {
		t.Error("no booking was sent again")
	}
}

// TestHostPaused stops a process past its session, with requests under way,
// and lets it go on once others have taken over.
func TestHostPaused(t *testing.T) {
	t.Parallel()
	s := New(t, Options{StandIns: saturated})
	tr := s.StartCallers(saturating)
	tr.Await("requests before", 300, Answered)
	late := s.Hosts[1]
	s.Pause(late)
	s.WaitUntil("others own all endpoints", s.ownedWithout(late))
	tr.Await("requests meanwhile", 300, Answered)
	s.Resume(late)
	tr.Await("requests at the host that was paused", 100, both(at(late), Answered))
	s.WaitShardsHeld()
	tr.Stop()
	t.Log(CountOutcomes(tr.Ended(), Any))
	s.Check()
}
