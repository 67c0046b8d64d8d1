package dispatch_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// fenced is a worker's refusal of an order's token.
var fenced = runner.Answer{Status: runner.Fenced}

// wantRefused checks whether the State holds itself for replaced, and on whose word.
func (r *rig) wantRefused(when string, want dispatch.RefusedToken) {
	r.t.Helper()
	if got, ok := r.state.RefusedToken(); got != want || ok != (want.Worker != "") {
		r.t.Errorf("%s: refused token %+v (%v), want %+v", when, got, ok, want)
	}
}

// TestPollRefusedByWorkerShowsSuccessor checks that the refusal of a poll counts under
// the newest token only.
func TestPollRefusedByWorkerShowsSuccessor(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "job", step(1, 4))
	_, outdated, _ := r.state.Renewal(r.now, worker(0), testLease)
	start := r.state.Plan(r.now).Starts[0]
	r.state.HandleStartAnswer(r.now, start, runner.Answer{Status: runner.Unknown}) // raises the token
	r.state.HandleReport(r.now, worker(0), outdated, fenced, runner.Report{})
	r.wantRefused("a poll sent before the token was raised", dispatch.RefusedToken{})
	_, newest, _ := r.state.Renewal(r.now, worker(0), testLease)
	r.state.HandleReport(r.now, worker(0), newest, fenced, runner.Report{})
	r.wantRefused("a poll under the newest token", dispatch.RefusedToken{Worker: worker(0), Token: newest.Token, Workers: 1})
}

// TestStartRefusedByWorkerShowsSuccessor checks that the refusal of a start counts under
// the newest token only, and that a start that wasn't sent doesn't.
func TestStartRefusedByWorkerShowsSuccessor(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "job", step(3, 4))
	starts := r.state.Plan(r.now).Starts
	r.state.HandleStartAnswer(r.now, starts[0], runner.Answer{Status: runner.NotSent})
	r.wantRefused("a start that wasn't sent", dispatch.RefusedToken{})
	r.state.HandleStartAnswer(r.now, starts[1], runner.Answer{Status: runner.Unknown}) // raises the token
	r.state.HandleStartAnswer(r.now, starts[2], fenced)
	r.wantRefused("a start sent before the token was raised", dispatch.RefusedToken{})
	r.report(worker(0), nil, nil)
	again := r.state.Plan(r.now).Starts[0]
	r.state.HandleStartAnswer(r.now, again, fenced)
	r.wantRefused("a start under the newest token", dispatch.RefusedToken{Worker: worker(0), Token: again.Start.Token, Workers: 1})
}

// TestReturningWorkerShowsNoSuccessor checks that the refusal of a poll that was sent
// before a worker was removed and came back doesn't show one.
func TestReturningWorkerShowsNoSuccessor(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueShort, "job", step(1, 4, longRunning))
	_, outdated, _ := r.state.Renewal(r.now, worker(0), testLease)
	start := r.state.Plan(r.now).Starts[0]
	r.state.HandleStartAnswer(r.now, start, runner.Answer{Status: runner.Unknown})
	r.state.HandleRestart(r.now, worker(0))
	r.flush()
	r.state.HandleRestart(r.now, worker(1))
	r.flush()
	r.members(2)
	for i := range 2 {
		r.state.HandleReport(r.now, worker(i), outdated, fenced, runner.Report{})
	}
	r.wantRefused("polls sent before the workers came back", dispatch.RefusedToken{})
}

// TestWrongRefusalShowsNoSuccessor checks that a worker's refusals count as no answer once
// a commit has shown that the owner wasn't replaced, until the worker answers.
func TestWrongRefusalShowsNoSuccessor(t *testing.T) {
	r := newRig(t, 1)
	refuse := func() {
		r.advance(testTick)
		_, o, _ := r.state.Renewal(r.now, worker(0), testLease)
		r.state.HandleReport(r.now, worker(0), o, fenced, runner.Report{})
	}
	refuse()
	refused, _ := r.state.RefusedToken()
	r.wantRefused("a refusal", dispatch.RefusedToken{Worker: worker(0), Token: refused.Token, Workers: 1})
	r.flush()
	r.wantRefused("a commit after it", dispatch.RefusedToken{})
	refuse()
	r.wantRefused("another refusal", dispatch.RefusedToken{})
	if r.state.Responsive(worker(0)) {
		t.Error("a worker that refuses every token counts as responsive")
	}
	r.report(worker(0), nil, nil)
	refuse()
	r.wantRefused("a refusal after an answer", dispatch.RefusedToken{Worker: worker(0), Token: refused.Token, Workers: 1})
}
