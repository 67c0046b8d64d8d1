package dispatch_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/runner"
)

// TestListedAgainUnderAHigherToken guards against orders to a removed worker that are carried out
// late: by one that has started again under its ID and is listed again. A start would run a
// second time, and an acknowledgment make it forget ends that nobody has seen.
func TestListedAgainUnderAHigherToken(t *testing.T) {
	r := newRig(t, 1)
	_, late, _ := r.state.Renewal(r.now, worker(0), testLease)
	r.state.HandleReport(r.now, worker(0), late, runner.Answer{}, runner.Report{})
	r.state.SetMembers(r.now, nil)
	r.advance(2 * testLease)
	r.flush()
	r.state.Plan(r.now)
	if r.state.HasWorker(worker(0)) {
		t.Fatal("the worker isn't removed")
	}
	r.members(1)
	if _, o, _ := r.state.Renewal(r.now, worker(0), testLease); o.Token <= late.Token {
		t.Errorf("token %d after the worker is listed again, want more than %d", o.Token, late.Token)
	}
}
