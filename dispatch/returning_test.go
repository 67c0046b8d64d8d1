package dispatch_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/runner"
)

// TestReturningWorkerKeepsToken checks that a worker that was removed after its
// leases expired and then returns gets no lower fencing token than it has seen.
// It would refuse all orders under a lower one.
func TestReturningWorkerKeepsToken(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "first", step(1, 16))
	p := r.state.Plan(r.now)
	lost := p.Starts[0].Worker.ID
	r.state.HandleStartAnswer(r.now, p.Starts[0], runner.Answer{Status: runner.Unknown})
	r.report(lost, nil, nil) // under the higher token
	seen := r.renewalToken(lost)

	r.state.SetMembers(r.now, []runner.Worker{workerInfo(otherWorker(lost))})
	r.submit(queueShort, "forever", step(2, 16, longRunning))
	for range 100 {
		r.advance(testTick)
		r.noAnswer(lost)
		r.report(otherWorker(lost), nil, nil)
		r.plan()
	}
	if r.state.HasWorker(lost) {
		t.Fatal("the worker is still known, want it removed")
	}
	r.members(2)
	if token := r.renewalToken(lost); token < seen {
		t.Errorf("polled under token %d, want at least %d, which it has seen", token, seen)
	}
}

// renewalToken returns the fencing token of the next poll of a worker.
func (r *rig) renewalToken(id string) uint64 {
	r.t.Helper()
	_, o, ok := r.state.Renewal(r.now, id, testLease)
	if !ok {
		r.t.Fatalf("worker %s isn't known", id)
	}
	return o.Token
}
