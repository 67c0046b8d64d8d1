package dispatch_test

import (
	"math"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
)

// TestLeasesAreLimited guards against a start or a renewal that gives a longer lease than a
// successor waits for, and against polls so rare that short leases run out.
func TestLeasesAreLimited(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "job", step(1, 4))
	const left = 2 * time.Second
	until := r.clock() + left.Milliseconds()
	if _, o, _ := r.state.Renewal(r.now, worker(0), left); o.LeaseUntil == 0 || o.LeaseUntil > until || o.WaitMS > 500 {
		t.Errorf("renewal until %d with a wait of %d ms, want at most %d and 500", o.LeaseUntil, o.WaitMS, until)
	}
	starts := r.state.PlanWithin(r.now, dispatch.PlanLimits{Starts: 1, Visits: math.MaxInt, Lease: left}).Starts
	if len(starts) != 1 || starts[0].Start.LeaseUntil > until {
		t.Errorf("starts %+v, want one until %d at most", starts, until)
	}
	if _, o, _ := r.state.Renewal(r.now, worker(0), -time.Second); o.LeaseUntil != 0 {
		t.Error("a renewal extends the lease of an owner that may give none")
	}
	if _, o, _ := r.state.Renewal(r.now, worker(0), time.Hour); o.LeaseUntil > r.clock()+testLease.Milliseconds() {
		t.Errorf("renewal until %d, which is longer than a lease of %v", o.LeaseUntil, testLease)
	}
}
