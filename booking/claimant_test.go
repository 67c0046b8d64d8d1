package booking

import (
	"context"
	"testing"

	"github.com/fireflygate/fireflygate/outcome"
)

// TestLostClaimAnswers loses the answer to the claim in every way. The request
// runs at most once, and not at all where it says so.
func TestLostClaimAnswers(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault fault
		first outcome.Kind
	}{
		{"took effect", loseAnswer, outcome.Answered},
		{"took no effect", loseCommit, outcome.NotRun},
		{"takes effect later", delay, outcome.NotRun},
		{"refused once", refuse, outcome.Answered},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(c.fault)
			_, refusal := r.a.Do(t.Context(), ask("x"), r.answer)
			if refusal.Kind != c.first {
				t.Fatalf("first: %+v", refusal)
			}
			if c.first == outcome.NotRun {
				r.ran(t, 0)
			}
			r.table.arrive()
			r.do(t, r.a, outcome.Answered, "")
			r.ran(t, 1)
		})
	}
}

// TestLateClaimSeenElsewhere lets a given-up claim take effect and asks on the
// other host, which learns from the claimant that it may run the request, and
// does not run it when the claimant is gone.
func TestLateClaimSeenElsewhere(t *testing.T) {
	for _, dead := range []bool{false, true} {
		r := newRig(delay)
		r.do(t, r.a, outcome.NotRun, ReasonStoreUnavailable)
		r.table.arrive()
		r.dead.Store(dead)
		if dead {
			r.do(t, r.b, outcome.Unknown, ReasonLost)
			r.ran(t, 0)
		} else {
			r.do(t, r.b, outcome.Answered, "")
			r.ran(t, 1)
		}
	}
}

func TestStoreDownIsNotRun(t *testing.T) {
	r := newRig()
	r.table.down = true
	r.do(t, r.a, outcome.NotRun, ReasonStoreUnavailable)
	r.ran(t, 0)
}

func TestTwoHostsRace(t *testing.T) {
	r := newRig()
	started, finish := make(chan struct{}), make(chan struct{})
	first := make(chan outcome.Refusal, 1)
	go func() {
		_, refusal := r.a.Do(t.Context(), ask("x"), func(ctx context.Context) (Response, outcome.Refusal) {
			close(started)
			<-finish
			return r.answer(ctx)
		})
		first <- refusal
	}()
	<-started
	second := make(chan Response, 1)
	go func() {
		answer, _ := r.b.Do(t.Context(), ask("x"), r.answer)
		second <- answer
	}()
	close(finish)
	if got := <-second; string(got.Body) != "booked" {
		t.Errorf("the second host got %q", got.Body)
	}
	if refusal := <-first; refusal.Kind != outcome.Answered {
		t.Errorf("the first host got %+v", refusal)
	}
	r.ran(t, 1)
}

// TestClaimantDies kills host a between claim and dispatch, and between
// dispatch and outcome: the retry is told unknown, for good.
func TestClaimantDies(t *testing.T) {
	for _, dispatched := range []bool{false, true} {
		r := newRig()
		hang := make(chan struct{})
		started := make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-started
			cancel()
		}()
		_, refusal := r.a.Do(ctx, ask("x"), func(ctx context.Context) (Response, outcome.Refusal) {
			if dispatched {
				_, _ = r.answer(ctx)
			}
			close(started)
			<-hang
			return Response{}, unknownOutcome("test over", 0)
		})
		if refusal.Kind != outcome.Unknown {
			t.Fatalf("caller that left: %+v", refusal)
		}
		r.dead.Store(true)
		before := r.runs.Load()
		for range 3 {
			r.do(t, r.b, outcome.Unknown, ReasonLost)
		}
		r.ran(t, before)
		close(hang)
		r.flush(t)
	}
}

// TestClaimantReplaced lets a successor of the claimant's name answer while
// the claimant still counts as alive: it knows nothing, so nothing may run.
func TestClaimantReplaced(t *testing.T) {
	r := newRig(none, refuse)
	hang := make(chan struct{})
	started := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, _ = r.a.Do(ctx, ask("x"), func(context.Context) (Response, outcome.Refusal) {
		close(started)
		<-hang
		return Response{}, unknownOutcome("test over", 0)
	})
	old := r.a
	r.a = New(old.opt)
	r.do(t, r.b, outcome.Unknown, ReasonInProgress)
	r.ran(t, 0)
	close(hang)
	if err := old.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
}
