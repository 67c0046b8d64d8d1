package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

// TestBestEffortSettlesAfterTailWindow checks that a worker is polled often
// until a new best-effort run has lasted for a full tail window, and rarely
// after that.
func TestBestEffortSettlesAfterTailWindow(t *testing.T) {
	r, serving, bestEffort := startBestEffort(t)
	running := active(bestEffort)
	running.Percent, running.Usage = 10, 1000
	for _, c := range []struct {
		after, wait time.Duration
	}{{400 * time.Millisecond, 500 * time.Millisecond}, {200 * time.Millisecond, 1500 * time.Millisecond}} {
		r.advance(c.after)
		r.report(worker(0), []runner.ActiveRun{withTail(serving, 13), running}, nil)
		r.flush()
		_, renewal, ok := r.state.Renewal(r.now, worker(0), testLease)
		if wait := time.Duration(renewal.WaitMS) * time.Millisecond; !ok || wait != c.wait {
			t.Errorf("the next poll may be held for %v, want %v", wait, c.wait)
		}
	}
}
