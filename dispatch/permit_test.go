package dispatch_test

import (
	"errors"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// queuePermit is a queue whose workers a policy service decides.
var queuePermit = workload.Queue{
	Name: "permit", Pool: pool, MaxAttempts: 2, Stretch: 2, Target: time.Second, NeedsPermit: true,
}

// TestPermits starts tasks only where the policy service permits it, with its
// ticket, and asks about the next step before its turn comes.
func TestPermits(t *testing.T) {
	r := newRig(t, 3)
	r.submit(queuePermit, "job", step(1, 4), step(1, 4, func(s *workload.Step) { s.After = []int{0} }))
	if starts := r.plan(); len(starts) != 0 {
		t.Fatalf("started %v without a permit", starts)
	}
	q, ok := r.state.NextPermitRequest(r.now)
	if !ok || q.Step.Step != 0 || len(q.Workers) != 3 {
		t.Fatalf("asks %+v, want all workers about the first step", q)
	}
	r.state.HandlePermits(r.now, q, runner.Permits{}, errors.New("busy"))
	if _, ok := r.state.NextPermitRequest(r.now); ok {
		t.Error("asks again at once after it was refused")
	}
	r.pass(time.Second)
	q, _ = r.state.NextPermitRequest(r.now)
	r.state.HandlePermits(r.now, q, runner.Permits{Tickets: map[string]string{worker(1): "ticket"}, Valid: 2 * time.Second}, nil)
	starts := r.plan()
	if len(starts) != 1 || starts[0].Worker.ID != worker(1) || starts[0].Start.Permit != "ticket" {
		t.Fatalf("got %v, want one start with the ticket", starts)
	}
	next, ok := r.state.NextPermitRequest(r.now)
	if !ok || next.Step.Step != 1 {
		t.Errorf("asks %+v, want the next step's permits ahead of its turn", next)
	}
}

// TestPermitEnds asks again for a permit that is over, not for workers that
// were denied.
func TestPermitEnds(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queuePermit, "job", step(1, 4))
	q, _ := r.state.NextPermitRequest(r.now)
	r.state.HandlePermits(r.now, q, runner.Permits{Tickets: map[string]string{worker(0): "a"}, Valid: time.Second}, nil)
	r.pass(2 * time.Second)
	if starts := r.plan(); len(starts) != 0 {
		t.Fatalf("started %v with a permit that is over", starts)
	}
	q, ok := r.state.NextPermitRequest(r.now)
	if !ok || len(q.Workers) != 1 || q.Workers[0] != worker(0) {
		t.Fatalf("asks %+v, want only the worker that was permitted", q)
	}
	r.state.HandlePermits(r.now, q, runner.Permits{Tickets: map[string]string{worker(0): "b"}, Valid: time.Second}, nil)
	p := r.state.Plan(r.now)
	if len(p.Starts) != 1 || p.Starts[0].Start.Permit != "b" {
		t.Fatalf("got %v, want a start with the new ticket", p.Starts)
	}
	r.state.HandleStartAnswer(r.now, p.Starts[0], runner.Answer{Status: runner.NoPermit, ClockMS: r.clock()})
	if p := r.state.Plan(r.now); len(p.Starts) != 0 {
		t.Errorf("started %v with a ticket that the worker refused", p.Starts)
	}
}
