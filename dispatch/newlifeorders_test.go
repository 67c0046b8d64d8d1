package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// TestLateAnswerOfEndedLifeBeginsNone guards against runs that are taken for over: answers on
// different connections overtake each other, so that the last answer of an ended life may
// arrive after the first one of the next.
func TestLateAnswerOfEndedLifeBeginsNone(t *testing.T) {
	first := newLifeRig(t)
	_, late, _ := first.state.Renewal(first.now, worker(0), testLease)
	answer, report := first.answer(runner.Done), first.renew(late)
	second := newTestLife(first.rig, 2)
	second.poll()
	second.poll()
	second.submit(queueShort, "job", step(2, 2))
	second.startAll()
	second.poll()
	first.state.HandleReport(first.now, worker(0), late, answer, report)
	if lives := first.state.TakeNewLives(); len(lives) != 1 {
		t.Errorf("lives %+v began, want one", lives)
	}
	for range 5 {
		second.poll()
		if again := second.startAll(); len(again) > 0 {
			t.Fatalf("%d tasks were started again while they run", len(again))
		}
	}
}

// TestDurableEndsOfEndedLifeAcknowledgeNone guards against ends that a new life forgets
// unrecorded: a batch with ends of the life before becomes durable after the restart.
func TestDurableEndsOfEndedLifeAcknowledgeNone(t *testing.T) {
	first := newLifeRig(t)
	first.submit(queueShort, "job", step(2, 2))
	for _, o := range first.startAll() {
		first.end(o, runner.EndDone)
	}
	_, o, _ := first.state.Renewal(first.now, worker(0), testLease)
	first.state.HandleReport(first.now, worker(0), o, first.answer(runner.Done), first.renew(o))
	batch, err := first.state.Flush(first.now, 98)
	if err != nil {
		t.Fatal(err)
	}
	second := newTestLife(first.rig, 2)
	second.advance(testTick)
	_, o, _ = second.state.Renewal(second.now, worker(0), testLease)
	second.state.HandleReport(second.now, worker(0), o, second.answer(runner.Done), second.renew(o))
	second.apply(batch)
	if _, o, _ = second.state.Renewal(second.now, worker(0), testLease); o.Acknowledged != 0 {
		t.Errorf("ends up to %d are acknowledged to a life that has listed none", o.Acknowledged)
	}
}

// TestLeaseIsOnTheClockOfTheNewLife guards against leases by the clock of an ended life, which
// last longer than the owner counts them: a task would run in two places.
func TestLeaseIsOnTheClockOfTheNewLife(t *testing.T) {
	first := newLifeRig(t)
	second := newTestLife(first.rig, 2)
	second.advance(testTick)
	second.poll()
	_, o, _ := second.state.Renewal(second.now, worker(0), testLease)
	if latest := second.clock() + testLease.Milliseconds(); o.LeaseUntil <= second.clock() || o.LeaseUntil > latest {
		t.Errorf("lease until %d on a clock at %d, want at most %d", o.LeaseUntil, second.clock(), latest)
	}
}

// TestStartCarriedOutByNewLifeGoesOn guards against a second run of a task: a start that was
// ordered for the life before was carried out by the next one, and the report that shows the
// new life was made before that.
func TestStartCarriedOutByNewLifeGoesOn(t *testing.T) {
	first := newLifeRig(t)
	second := newTestLife(first.rig, 2)
	second.submit(queueShort, "job", step(1, 2))
	_, o, _ := second.state.Renewal(second.now, worker(0), testLease)
	answer, early := second.answer(runner.Done), second.renew(o)
	second.advance(testTick)
	if len(second.startAll()) != 1 {
		t.Fatal("nothing started")
	}
	second.state.HandleReport(second.now, worker(0), o, answer, early)
	for range 10 {
		second.poll()
		if again := second.startAll(); len(again) > 0 {
			t.Fatalf("started again as run %d while it runs", again[0].Start.Run)
		}
	}
}

// TestNoEndsAreAcknowledgedBesideAStart guards against a renewal that makes a worker forget
// the end of a run that nobody has seen: if it has started again, it may have carried the
// start out and ended the run under a number that was listed before.
func TestNoEndsAreAcknowledgedBesideAStart(t *testing.T) {
	first := newLifeRig(t)
	first.submit(queueShort, "job", step(1, 2))
	for _, o := range first.startAll() {
		first.end(o, runner.EndDone)
	}
	_, listing, _ := first.state.Renewal(first.now, worker(0), testLease)
	first.state.HandleReport(first.now, worker(0), listing, first.answer(runner.Done), first.renew(listing))
	first.submit(queueShort, "next", step(1, 2)) // makes the end durable too
	start := first.state.Plan(first.now).Starts[0]
	if _, o, _ := first.state.Renewal(first.now, worker(0), testLease); o.Acknowledged != 0 {
		t.Error("ends are acknowledged while a start is under way")
	}
	first.start(start)
	_, acknowledging, _ := first.state.Renewal(first.now, worker(0), testLease)
	if acknowledging.Acknowledged != 1 {
		t.Errorf("ends up to %d are acknowledged after the answer, want 1", acknowledging.Acknowledged)
	}
	first.submit(queueShort, "last", step(1, 2))
	if o := first.state.Plan(first.now).Starts[0]; o.Start.Token <= acknowledging.Token {
		t.Errorf("start under token %d, want more than the renewal's %d", o.Start.Token, acknowledging.Token)
	}
}

// TestCrashOfReturnedWorkerCounts guards against a task that crashes workers without end, if
// these start again under their IDs.
func TestCrashOfReturnedWorkerCounts(t *testing.T) {
	life := newLifeRig(t)
	life.submit(queueShort, "job", step(1, 2))
	for i := range 40 {
		life.poll()
		if len(life.startAll()) == 0 {
			continue
		}
		next := newTestLife(life.rig, runner.Incarnation(2+i))
		next.advance(testTick)
		life = next
	}
	for range 100 {
		life.poll()
		life.state.Plan(life.now)
	}
	life.wantState("job", workload.Failed)
}

// TestPermitIsForOneLife guards against starts with a ticket that the worker refuses: a
// ticket is valid for one life of a worker.
func TestPermitIsForOneLife(t *testing.T) {
	first := newLifeRig(t)
	first.submit(queuePermit, "job", step(2, 9))
	request, ok := first.state.NextPermitRequest(first.now)
	if !ok {
		t.Fatal("no permit is requested")
	}
	permits := runner.Permits{Tickets: map[string]string{worker(0): "first"}, Valid: time.Hour}
	first.state.HandlePermits(first.now, request, permits, nil)
	if starts := first.startAll(); len(starts) != 1 || starts[0].Start.Permit != "first" {
		t.Fatalf("started %+v, want one run with the ticket", starts)
	}
	second := newTestLife(first.rig, 2)
	for range 3 {
		second.poll()
		if starts := second.startAll(); len(starts) > 0 {
			t.Fatalf("started with ticket %q of the life before", starts[0].Start.Permit)
		}
	}
	if _, ok := second.state.NextPermitRequest(second.now); !ok {
		t.Error("no permit is requested for the new life")
	}
}
