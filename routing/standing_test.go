package routing

import (
	"testing"
	"time"
)

// longQueue returns a queue of n tickets that is long from t0 on, at 100 requests per
// second and 10 ms each.
func longQueue(n int) *Queue {
	q := NewQueue(1000)
	for range n {
		q.Push(&Ticket{QueuedAt: t0, WaitDeadline: t0.Add(time.Minute)})
	}
	return q
}

// admitAt returns the decision for a request with a distant deadline.
func admitAt(q *Queue, at time.Duration) Admission {
	return q.Admit(t0.Add(at), 100, 10*time.Millisecond, time.Minute)
}

// admitUntil asks for a decision every 50 ms and returns the last one.
func admitUntil(q *Queue, from, to time.Duration) Admission {
	var last Admission
	for at := from; at <= to; at += 50 * time.Millisecond {
		last = admitAt(q, at)
	}
	return last
}

// TestDrainingQueueIsNotStanding checks that a burst that takes longer than
// standingQueueAfter to drain is served, and that a queue that stays long is refused.
func TestDrainingQueueIsNotStanding(t *testing.T) {
	const step = 50 * time.Millisecond
	for _, c := range []struct {
		name    string
		perStep int // tickets that leave in each step
		refused bool
	}{
		{"drains", 3, false},
		{"drains slowly", 2, false},
		{"stays", 0, true},
	} {
		q := longQueue(60)
		refused := false
		for at := time.Duration(0); at <= 4*standingQueueAfter; at += step {
			refused = refused || admitAt(q, at).Reason == ReasonOverloaded
			for range c.perStep {
				q.PopAny()
			}
		}
		if refused != c.refused {
			t.Errorf("%s: refused %v, want %v", c.name, refused, c.refused)
		}
	}
}

// TestStandingQueueIsRefusedUntilShort checks that a standing queue that gets shorter
// because requests are refused still counts as standing, and no longer once it has
// been short.
func TestStandingQueueIsRefusedUntilShort(t *testing.T) {
	q := longQueue(60)
	if got := admitUntil(q, 0, 2*standingQueueAfter); got.Reason != ReasonOverloaded {
		t.Fatalf("got %+v, want it refused as overloaded", got)
	}
	for range 40 {
		q.PopAny()
	}
	if got := admitAt(q, 2*standingQueueAfter+1); got.Reason != ReasonOverloaded {
		t.Errorf("shorter by refusals: got %+v, want it refused as overloaded", got)
	}
	for range 19 {
		q.PopAny()
	}
	later := 4 * standingQueueAfter
	admitAt(q, later)
	for range 40 {
		q.Push(&Ticket{QueuedAt: t0, WaitDeadline: t0.Add(time.Minute)})
	}
	if got := admitAt(q, later+1); !got.Admitted {
		t.Errorf("burst after a short queue: got %+v, want it admitted", got)
	}
}

// TestPauseBacklogIsNotStanding checks that the backlog of a pause may take twice as
// long as the pause, and at most maxBacklogTime, before it counts as standing.
func TestPauseBacklogIsNotStanding(t *testing.T) {
	for _, c := range []struct{ paused, allowed time.Duration }{
		{700 * time.Millisecond, 1400 * time.Millisecond},
		{time.Hour, maxBacklogTime},
	} {
		q := longQueue(60)
		q.Resume(t0, c.paused)
		const step = 50 * time.Millisecond
		at := time.Duration(0)
		for ; at+step <= c.allowed+standingQueueAfter; at += step {
			if got := admitAt(q, at); !got.Admitted {
				t.Errorf("pause of %v, %v later: got %+v, want it admitted", c.paused, at, got)
			}
		}
		if got := admitUntil(q, at, at+2*standingQueueAfter); got.Reason != ReasonOverloaded {
			t.Errorf("pause of %v: got %+v, want it refused as overloaded in the end", c.paused, got)
		}
	}
}
