package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

// acceptedSince returns how long ago most workers had accepted a renewal, negative if they
// haven't.
func (r *rig) acceptedSince() time.Duration {
	at := r.state.MajorityAcceptedAt()
	if at.IsZero() {
		return -1
	}
	return r.now.Sub(at)
}

// TestMajorityOfWorkersAccepts guards against an owner that relies on workers that may have
// heard of a successor: those that are silent, and those that were removed from the list but
// not from the durable roster, count as if they had.
func TestMajorityOfWorkersAccepts(t *testing.T) {
	r := newRig(t, 4)
	if got := r.acceptedSince(); got != 0 {
		t.Fatalf("accepted %v ago, want now", got)
	}
	for range 2 {
		r.advance(time.Second)
		r.report(worker(0), nil, nil)
		r.report(worker(1), nil, nil)
	}
	if got := r.acceptedSince(); got != 2*time.Second {
		t.Errorf("half of the workers have accepted since, the majority %v ago, want 2s", got)
	}
	r.report(worker(2), nil, nil)
	if got := r.acceptedSince(); got != 0 {
		t.Errorf("most workers have accepted, %v ago, want now", got)
	}
	r.advance(time.Minute)
	r.state.SetMembers(r.now, []runner.Worker{workerInfo(worker(0))})
	r.advance(time.Minute)
	r.state.SetMembers(r.now, []runner.Worker{workerInfo(worker(0))})
	if r.state.HasWorker(worker(1)) {
		t.Fatal("workers off the list aren't removed")
	}
	r.report(worker(0), nil, nil)
	if got := r.acceptedSince(); got >= 0 {
		t.Error("one worker of the four on the durable roster counts as most")
	}
	r.flush()
	if got := r.acceptedSince(); got != 0 {
		t.Errorf("the only worker has accepted %v ago, want now", got)
	}
	r.state.ForgetAcceptances()
	if got := r.acceptedSince(); got >= 0 {
		t.Errorf("accepted %v ago after a pause of unknown length", got)
	}
}

// TestNewLifeIsNoAcceptance guards against an owner that relies on a worker that has started
// again: its new life doesn't know the token of a successor that the life before has seen.
func TestNewLifeIsNoAcceptance(t *testing.T) {
	first := newLifeRig(t)
	second := newTestLife(first.rig, 2)
	for range 3 {
		second.advance(testTick)
		_, o, _ := second.state.Renewal(second.now, worker(0), testLease)
		second.state.HandleReport(second.now, worker(0), o, second.answer(runner.Done), second.renew(o))
	}
	if got := second.acceptedSince(); got >= 0 {
		t.Errorf("the new life counts as having accepted %v ago", got)
	}
	second.flush() // confirms the ownership
	if got := second.acceptedSince(); got < 0 {
		t.Error("the new life doesn't count after an applied commit")
	}
}

// TestLeavesNoMajority guards against an earlier owner that counts as bounded while most workers
// may accept its orders, and against one that doesn't although half of them refuse these.
func TestLeavesNoMajority(t *testing.T) {
	for _, c := range []struct{ workers, before, removed, enough int }{
		{workers: 3, enough: 2},
		{workers: 4, enough: 2},
		{workers: 5, enough: 3},
		{workers: 5, before: 4, enough: 3},             // one was added: two may obey it
		{workers: 5, before: 2, enough: 4},             // three were added: one may obey it
		{workers: 5, before: 6, removed: 1, enough: 3}, // two and the removed one may obey it
		{workers: 5, before: 6, removed: 4, enough: 6}, // of four removed ones all may
	} {
		r := newRig(t, c.workers)
		r.takeOver(r.roster()...)
		for i := range c.workers {
			if got, want := r.state.LeavesNoMajority(c.before, c.removed), i >= c.enough; got != want {
				t.Errorf("after %d reports, %+v: %v, want %v", i, c, got, want)
			}
			r.report(worker(i), nil, nil)
		}
	}
}
