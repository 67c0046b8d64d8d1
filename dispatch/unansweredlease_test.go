package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

// TestUnansweredStartCountsLongestLease guards against a second run of a task: a worker had
// started again under its ID when it carried a start out, and its answers are lost. The start
// gave the lease by the clock of the life before, which the worker cuts to its longest lease.
func TestUnansweredStartCountsLongestLease(t *testing.T) {
	const longest = 10 * time.Second
	r := &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}, maxLease: longest}
	r.startOwner(1)
	r.startedAt = r.now
	r.members(2)
	r.advance(time.Minute)
	for range 2 {
		r.report(worker(0), nil, nil)
		r.report(worker(1), nil, nil)
	}
	r.submit(queueShort, "job", step(1, 2))
	starts := r.state.Plan(r.now).Starts
	if len(starts) != 1 {
		t.Fatalf("%d starts, want one", len(starts))
	}
	id, startedAt := starts[0].Worker.ID, r.now
	r.state.HandleStartAnswer(r.now, starts[0], runner.Answer{Status: runner.Unknown})
	r.waitForStart(id, func() {})
	switch waited := r.now.Sub(startedAt); {
	case waited < longest:
		t.Errorf("started again after %v, while its run may last for %v", waited, longest)
	case waited > longest+time.Second:
		t.Errorf("started again after %v, want little more than %v", waited, longest)
	}
}

// TestAnsweredStartCountsItsLease checks that a run whose start was answered starts again once
// the lease is over that was given by the clock of the life that answered.
func TestAnsweredStartCountsItsLease(t *testing.T) {
	r := &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}, maxLease: 10 * time.Second}
	r.startOwner(1)
	r.startedAt = r.now
	r.members(2)
	for range 2 {
		r.report(worker(0), nil, nil)
		r.report(worker(1), nil, nil)
	}
	r.submit(queueShort, "job", step(1, 2))
	id := r.plan()[0].Worker.ID
	if waited := r.waitForStart(id, func() {}); waited > testLease+time.Second {
		t.Errorf("started again after %v, want little more than %v", waited, testLease)
	}
}
