package admission_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/admission"
)

// cycle is the time between two observations.
const cycle = 100 * time.Millisecond

// observe passes a constant rate of work, in core-milliseconds per second, for a while.
func observe(r *admission.Rate, now time.Time, d time.Duration, perSecond int64, full bool) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(cycle)
		r.Observe(now, perSecond*cycle.Milliseconds()/1000, full)
	}
	return now
}

// TestRate guards against a rate that is known too soon, that takes little demand for
// little capacity, that doesn't follow the capacity, or that outlives what it was
// learned from.
func TestRate(t *testing.T) {
	var r admission.Rate
	want := func(what string, low, high float64) {
		t.Helper()
		if got := r.PerSecond(); got < low || got > high {
			t.Errorf("%s: %.0f per second, want %.0f to %.0f", what, got, low, high)
		}
	}
	now := observe(&r, start, 5*time.Second, 0, true)
	want("before the first end", 0, 0)
	now = observe(&r, now, 2*time.Second, 1000, true)
	want("after less than two seconds", 0, 0)
	now = observe(&r, now, 200*time.Millisecond, 1000, true)
	want("known", 1000, 1000)
	now = observe(&r, now, 3*time.Second, 2000, false)
	want("more work", 1700, 1800)
	now = observe(&r, now, 9*time.Second, 2000, true)
	want("after some seconds", 1900, 2000)
	now = observe(&r, now, time.Minute, 100, false)
	want("little demand", 1900, 2000)
	now = observe(&r, now, 9*time.Second, 1000, true)
	want("less capacity", 1000, 1100)
	now = now.Add(time.Minute)
	now = observe(&r, now, cycle, 1_000_000, true)
	want("after a pause", 1000, 1100)
	now = observe(&r, now, 9*time.Second, 0, true)
	if r.PerSecond() == 0 {
		t.Error("unknown after 9 s without an end")
	}
	observe(&r, now, 2*time.Second, 0, true)
	want("without ends for over 10 s", 0, 0)
}
