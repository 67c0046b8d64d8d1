package flow_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/flow"
)

// TestBacklogRefusesWhatWouldWaitTooLong offers an owner that gives 200 starts a
// second 300 of them for a minute, as on a host with a small link. What is
// accepted waits for ten seconds at most, as much is accepted as can be started,
// and callers are told to come back when there is a chance.
func TestBacklogRefusesWhatWouldWaitTooLong(t *testing.T) {
	var b flow.Backlog
	const capacity, offered, job = 200, 300, 30
	waiting, accepted := 0, 0
	for second := range 60 {
		for range offered / job {
			after, refuse := b.Refuse(waiting)
			if !refuse {
				waiting += job
				accepted += job
			} else if after < time.Second || after > 8*time.Second {
				t.Fatalf("second %d: come back after %v", second, after)
			}
		}
		given := min(waiting, capacity)
		waiting -= given
		b.Observe(given, waiting > 0)
		if longest := 10*capacity + offered; waiting > longest {
			t.Fatalf("second %d: %d starts wait, more than ten seconds of them", second, waiting)
		}
	}
	if accepted < 59*capacity {
		t.Errorf("%d starts accepted in a minute, of %d that can be given", accepted, 60*capacity)
	}
}

// TestBacklogRefusesNothingWhileNothingIsHeldBack leaves jobs alone that wait
// for room and not for their starts.
func TestBacklogRefusesNothingWhileNothingIsHeldBack(t *testing.T) {
	var b flow.Backlog
	b.Observe(50, true)
	b.Observe(5, false)
	if after, refuse := b.Refuse(100_000); refuse {
		t.Errorf("refused for %v", after)
	}
}
