package routing

import (
	"testing"
	"time"
)

// TestPeerRateCountsTowardsWait checks admission on a host whose only endpoint
// hangs, so that it finishes 6 requests per second, while peers serve 100 per
// second.
func TestPeerRateCountsTowardsWait(t *testing.T) {
	const perSecond, serviceTime, deadline = 6, 700 * time.Millisecond, time.Second
	q := NewQueue(100)
	now := t0
	admit := func() Admission {
		rate, mean := q.DrainRate(now, perSecond, serviceTime)
		return q.Admit(now, rate, mean, deadline)
	}
	if a := admit(); a.Reason != ReasonDeadlineUnreachable {
		t.Errorf("without peers: %+v", a)
	}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		q.ObservePeer(now, 30*time.Millisecond)
	}
	for range 10 {
		if a := admit(); !a.Admitted {
			t.Fatalf("with peers and %d waiting: %+v", q.Len(), a)
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
	// Once the peers have served nothing for 10 s, their rate no longer counts.
	now = now.Add(10 * time.Second)
	if rate, _ := q.DrainRate(now, perSecond, serviceTime); rate > perSecond+0.1 {
		t.Errorf("drain rate of %.1f/s after 10 s without requests served by peers, want nearly none of theirs", rate)
	}
}

// TestRateUnknownWithoutOwnSlots checks that the rate of a host without slots
// stays unknown: what peers have served is no upper bound on what they can
// serve.
func TestRateUnknownWithoutOwnSlots(t *testing.T) {
	q := NewQueue(1)
	q.ObservePeer(t0, 30*time.Millisecond)
	if rate, _ := q.DrainRate(t0, 0, 0); rate != 0 {
		t.Errorf("drain rate of %.1f/s without own slots, want 0", rate)
	}
}
