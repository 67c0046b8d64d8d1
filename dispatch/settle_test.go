package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

// TestFillerIsSettledAfterHalfASecond looks often at a worker whose filler has
// just begun, since its effect isn't in the tails yet, and seldom once a window
// of half a second has passed. Only reports beside settled fillers teach what
// fillers do; waiting for a second left a third of the pairs unknown 12 s into a
// day of short ones.
func TestFillerIsSettledAfterHalfASecond(t *testing.T) {
	r, serving, filler := besideServing(t)
	filling := active(filler)
	filling.Percent, filling.Usage = 10, 1000
	for _, c := range []struct {
		after, wait time.Duration
	}{{400 * time.Millisecond, 500 * time.Millisecond}, {200 * time.Millisecond, 2 * time.Second}} {
		r.pass(c.after)
		r.report(worker(0), []runner.ActiveRun{withTail(serving, 13), filling}, nil)
		r.flush()
		_, renewal, ok := r.state.Renewal(r.now, worker(0), true)
		if wait := time.Duration(renewal.WaitMS) * time.Millisecond; !ok || wait != c.wait {
			t.Errorf("the next look may wait %v, want %v", wait, c.wait)
		}
	}
}
