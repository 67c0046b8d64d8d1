package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

// TestOutdatedPollShowsWorkerIsAlive checks that a worker that refuses a poll because
// it has seen this owner's newer token counts as alive, so that its leases are renewed.
func TestOutdatedPollShowsWorkerIsAlive(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "job", step(1, 4))
	_, outdated, _ := r.state.Renewal(r.now, worker(0), testLease)
	start := r.state.Plan(r.now).Starts[0]
	r.state.HandleStartAnswer(r.now, start, runner.Answer{Status: runner.Unknown}) // raises the token
	if r.state.Responsive(worker(0)) {
		t.Fatal("a worker that didn't answer a start counts as responsive")
	}
	r.state.HandleReport(r.now, worker(0), outdated, runner.Answer{Status: runner.Fenced}, runner.Report{})
	if !r.state.Responsive(worker(0)) {
		t.Error("a worker that refused an outdated poll counts as unresponsive")
	}
	_, current, _ := r.state.Renewal(r.now, worker(0), testLease)
	if current.LeaseUntil == 0 {
		t.Error("the next poll doesn't renew its leases")
	}
	r.state.HandleReport(r.now, worker(0), current, runner.Answer{Status: runner.Fenced}, runner.Report{})
	if r.state.Responsive(worker(0)) {
		t.Error("a worker that refused the newest token, as of a later owner, counts as responsive")
	}
}

// TestLateClockReadingShortensNoLease checks that a reading of a worker's clock that
// arrives late doesn't replace a newer one.
func TestLateClockReadingShortensNoLease(t *testing.T) {
	r := newRig(t, 1)
	_, late, _ := r.state.Renewal(r.now, worker(0), testLease)
	read := r.clock()
	r.advance(2 * time.Second)
	r.report(worker(0), nil, nil)
	_, before, _ := r.state.Renewal(r.now, worker(0), testLease)
	r.state.HandleReport(r.now, worker(0), late, runner.Answer{Status: runner.Done, ClockMS: read}, runner.Report{ClockMS: read})
	if _, after, _ := r.state.Renewal(r.now, worker(0), testLease); after.LeaseUntil < before.LeaseUntil {
		t.Errorf("lease until %d ms after a late reading, want at least the %d ms before it", after.LeaseUntil, before.LeaseUntil)
	}
}
