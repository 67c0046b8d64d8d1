package booking

import (
	"context"
	"testing"

	"github.com/fireflygate/fireflygate/outcome"
)

// TestLostClaimAnswers checks that the request runs at most once when the
// answer to the commit of its claim is lost, and not at all if the outcome is
// not run.
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
			r := newHarness(c.fault)
			_, refusal := r.a.Do(t.Context(), newRequest("x"), r.response)
			if refusal.Kind != c.first {
				t.Fatalf("first attempt: got unexpected refusal %+v", refusal)
			}
			if c.first == outcome.NotRun {
				r.wantRuns(t, 0)
			}
			r.table.applyDelayed()
			r.do(t, r.a, outcome.Answered, "")
			r.wantRuns(t, 1)
		})
	}
}

// TestLateClaimSeenElsewhere lets the commit of an abandoned claim take effect
// late. The other host may run the request only if the claimant confirms that
// it never ran it.
func TestLateClaimSeenElsewhere(t *testing.T) {
	for _, dead := range []bool{false, true} {
		r := newHarness(delay)
		r.do(t, r.a, outcome.NotRun, ReasonStoreUnavailable)
		r.table.applyDelayed()
		r.dead.Store(dead)
		if dead {
			r.do(t, r.b, outcome.Unknown, ReasonLost)
			r.wantRuns(t, 0)
		} else {
			r.do(t, r.b, outcome.Answered, "")
			r.wantRuns(t, 1)
		}
	}
}

func TestStoreDownIsNotRun(t *testing.T) {
	r := newHarness()
	r.table.down = true
	r.do(t, r.a, outcome.NotRun, ReasonStoreUnavailable)
	r.wantRuns(t, 0)
}

func TestTwoHostsRace(t *testing.T) {
	r := newHarness()
	started, finish := make(chan struct{}), make(chan struct{})
	first := make(chan outcome.Refusal, 1)
	go func() {
		_, refusal := r.a.Do(t.Context(), newRequest("x"), func(ctx context.Context) (Response, outcome.Refusal) {
			close(started)
			<-finish
			return r.response(ctx)
		})
		first <- refusal
	}()
	<-started
	second := make(chan Response, 1)
	go func() {
		response, _ := r.b.Do(t.Context(), newRequest("x"), r.response)
		second <- response
	}()
	close(finish)
	if got := <-second; string(got.Body) != "booked" {
		t.Errorf("the second host got body %q, want \"booked\"", got.Body)
	}
	if refusal := <-first; refusal.Kind != outcome.Answered {
		t.Errorf("the first host got refusal %+v, want answered", refusal)
	}
	r.wantRuns(t, 1)
}

// TestClaimantDies checks that the outcome stays unknown on the other host if
// the claimant dies before it stores the outcome, whether or not it had
// dispatched the request.
func TestClaimantDies(t *testing.T) {
	for _, dispatched := range []bool{false, true} {
		r := newHarness()
		hang := make(chan struct{})
		started := make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-started
			cancel()
		}()
		_, refusal := r.a.Do(ctx, newRequest("x"), func(ctx context.Context) (Response, outcome.Refusal) {
			if dispatched {
				_, _ = r.response(ctx)
			}
			close(started)
			<-hang
			return Response{}, unknownOutcome("test ended", 0)
		})
		if refusal.Kind != outcome.Unknown {
			t.Fatalf("caller that left: got refusal %+v, want unknown", refusal)
		}
		r.dead.Store(true)
		before := r.runs.Load()
		for range 3 {
			r.do(t, r.b, outcome.Unknown, ReasonLost)
		}
		r.wantRuns(t, before)
		close(hang)
		r.flush(t)
	}
}

// TestClaimantReplaced checks that nothing runs if a new process of the
// claimant's host answers while the claimant still counts as alive: the new
// process has no record of the claim.
func TestClaimantReplaced(t *testing.T) {
	r := newHarness(noFault, refuse)
	hang := make(chan struct{})
	started := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, _ = r.a.Do(ctx, newRequest("x"), func(context.Context) (Response, outcome.Refusal) {
		close(started)
		<-hang
		return Response{}, unknownOutcome("test ended", 0)
	})
	old := r.a
	r.a = New(old.opt)
	r.do(t, r.b, outcome.Unknown, ReasonInProgress)
	r.wantRuns(t, 0)
	close(hang)
	if err := old.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
}
