package dispatch_test

import (
	"errors"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// queuePermit is a queue whose tasks need permits from the policy service.
var queuePermit = workload.Queue{
	Name: "permit", Pool: pool, MaxAttempts: 2, Stretch: 2, Target: time.Second, NeedsPermit: true,
}

// TestPermits checks that tasks start only on permitted workers and with the
// permit, and that permits for the next step are requested in advance.
func TestPermits(t *testing.T) {
	r := newRig(t, 3)
	r.submit(queuePermit, "job", step(1, 4), step(1, 4, func(s *workload.Step) { s.After = []int{0} }))
	if starts := r.plan(); len(starts) != 0 {
		t.Fatalf("started %v without a permit", starts)
	}
	q, ok := r.state.NextPermitRequest(r.now)
	if !ok || q.Step.Step != 0 || len(q.Workers) != 3 {
		t.Fatalf("got request %+v, want all workers for the first step", q)
	}
	r.state.HandlePermits(r.now, q, runner.Permits{}, errors.New("busy"))
	if _, ok := r.state.NextPermitRequest(r.now); ok {
		t.Error("got a request right after one failed")
	}
	r.advance(time.Second)
	q, _ = r.state.NextPermitRequest(r.now)
	r.state.HandlePermits(r.now, q, runner.Permits{Tickets: map[string]string{worker(1): "ticket"}, Valid: 2 * time.Second}, nil)
	starts := r.plan()
	if len(starts) != 1 || starts[0].Worker.ID != worker(1) || starts[0].Start.Permit != "ticket" {
		t.Fatalf("got %v, want one start with the permit", starts)
	}
	next, ok := r.state.NextPermitRequest(r.now)
	if !ok || next.Step.Step != 1 {
		t.Errorf("got request %+v, want one for the next step in advance", next)
	}
}

// TestExpiredPermit checks that an expired or refused permit isn't used, and
// that permits are requested again only for workers that weren't denied.
func TestExpiredPermit(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queuePermit, "job", step(1, 4))
	q, _ := r.state.NextPermitRequest(r.now)
	r.state.HandlePermits(r.now, q, runner.Permits{Tickets: map[string]string{worker(0): "a"}, Valid: time.Second}, nil)
	r.advance(2 * time.Second)
	if starts := r.plan(); len(starts) != 0 {
		t.Fatalf("started %v with an expired permit", starts)
	}
	q, ok := r.state.NextPermitRequest(r.now)
	if !ok || len(q.Workers) != 1 || q.Workers[0] != worker(0) {
		t.Fatalf("got request %+v, want only the worker that was permitted", q)
	}
	r.state.HandlePermits(r.now, q, runner.Permits{Tickets: map[string]string{worker(0): "b"}, Valid: time.Second}, nil)
	p := r.state.Plan(r.now)
	if len(p.Starts) != 1 || p.Starts[0].Start.Permit != "b" {
		t.Fatalf("got %v, want a start with the new permit", p.Starts)
	}
	r.state.HandleStartAnswer(r.now, p.Starts[0], runner.Answer{Status: runner.NoPermit, ClockMS: r.clock()})
	if p := r.state.Plan(r.now); len(p.Starts) != 0 {
		t.Errorf("started %v with a permit that the worker refused", p.Starts)
	}
}
