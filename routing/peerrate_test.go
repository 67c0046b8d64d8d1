package routing

import (
	"testing"
	"time"
)

// TestPeersCountForTheWait has a host whose one endpoint hangs, so that its
// slots free up 6 times a second, beside peers that serve 100 a second.
func TestPeersCountForTheWait(t *testing.T) {
	const perSecond, each, deadline = 6, 700 * time.Millisecond, time.Second
	q := NewQueue(100)
	now := t0
	admit := func() Admission {
		rate, mean := q.DrainRate(now, perSecond, each)
		return q.Admit(now, rate, mean, deadline)
	}
	if a := admit(); a.Reason != ReasonDeadlineUnreachable {
		t.Errorf("alone: %+v", a)
	}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		q.ObservePeer(now, 30*time.Millisecond)
	}
	for range 10 {
		if a := admit(); !a.Admitted {
			t.Fatalf("beside peers, with %d waiting: %+v", q.Len(), a)
		}
		q.Push(&Ticket{QueuedAt: now, WaitDeadline: now.Add(deadline)})
	}
	for range 90 {
		q.Push(&Ticket{QueuedAt: now, WaitDeadline: now.Add(deadline)})
	}
	q.SetLimit(1000)
	if a := admit(); a.Reason != ReasonDeadlineUnreachable {
		t.Errorf("with %d waiting: %+v", q.Len(), a)
	}
	// The peers have filled up: nothing of theirs counts any more.
	now = now.Add(10 * time.Second)
	if rate, _ := q.DrainRate(now, perSecond, each); rate > perSecond+0.1 {
		t.Errorf("%.1f a second after ten quiet seconds", rate)
	}
}

// TestNoOwnRateStaysUnknown has a host without slots: its requests wait for
// peers whatever these served lately, as that is no bound of what they can.
func TestNoOwnRateStaysUnknown(t *testing.T) {
	q := NewQueue(1)
	q.ObservePeer(t0, 30*time.Millisecond)
	if rate, _ := q.DrainRate(t0, 0, 0); rate != 0 {
		t.Errorf("%.1f a second", rate)
	}
}
