package dispatch_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/runner"
)

// TestForgottenWorkerComesBack replays how a worker was lost for good. A start
// there got no answer, so the worker was asked under a higher fencing token.
// Then it was cut off until its leases were over, left the membership list and
// was forgotten. When it came back in the same life, it was known anew under the
// first token of the ownership, refused every order as one of an older owner, and
// stayed without tasks until the next owner came; lasting tasks waited beside it.
func TestForgottenWorkerComesBack(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "first", step(1, 16))
	p := r.state.Plan(r.now)
	cut := p.Starts[0].Worker.ID
	r.state.HandleStartAnswer(r.now, p.Starts[0], runner.Answer{Status: runner.Unknown})
	r.report(cut, nil, nil) // under the higher token
	seen := r.renewalToken(cut)

	r.state.SetMembers(r.now, []runner.Worker{workerInfo(other(cut))})
	r.submit(queueShort, "forever", step(2, 16, longRunning))
	for range 100 {
		r.pass(testTick)
		r.silence(cut)
		r.report(other(cut), nil, nil)
		r.plan()
	}
	if r.state.HasWorker(cut) {
		t.Fatal("the worker is still known, it should be forgotten")
	}
	r.members(2)
	if token := r.renewalToken(cut); token < seen {
		t.Errorf("looked at under token %d, it has seen %d", token, seen)
	}
}

// renewalToken returns the fencing token of the next look at a worker.
func (r *rig) renewalToken(id string) uint64 {
	r.t.Helper()
	_, o, ok := r.state.Renewal(r.now, id, true)
	if !ok {
		r.t.Fatalf("worker %s isn't known", id)
	}
	return o.Token
}
