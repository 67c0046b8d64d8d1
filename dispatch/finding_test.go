package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// findings returns the kinds of the findings recorded since the last call.
func (r *rig) findings() []dispatch.FindingKind {
	var kinds []dispatch.FindingKind
	for _, f := range r.state.TakeFindings() {
		kinds = append(kinds, f.Kind)
	}
	return kinds
}

// wantFindings checks the findings recorded since the last call.
func (r *rig) wantFindings(want ...dispatch.FindingKind) {
	r.t.Helper()
	if got := r.findings(); !slices.Equal(got, want) {
		r.t.Errorf("findings %v, want %v", got, want)
	}
}

// TestOmittedRunIsFound guards against a run whose end was forgotten and that nobody
// notices: a report that was requested after its start lists neither the run nor its end.
func TestOmittedRunIsFound(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "job", step(1, 4))
	_, before, _ := r.state.Renewal(r.now, worker(0), testLease)
	start := r.plan()[0]
	r.state.HandleReport(r.now, worker(0), before, runner.Answer{Status: runner.Done, ClockMS: r.clock()}, runner.Report{})
	r.wantFindings() // the report may have been made before the start
	r.advance(testTick)
	r.report(worker(0), []runner.ActiveRun{active(start)}, nil)
	r.wantFindings()
	for range 2 {
		r.advance(testTick)
		r.report(worker(0), nil, nil)
	}
	r.wantFindings(dispatch.RunOmitted)
}

// TestEndOfUnknownTaskIsFound guards against ends that are dropped unnoticed since their
// task isn't known.
func TestEndOfUnknownTaskIsFound(t *testing.T) {
	r := newRig(t, 1)
	r.report(worker(0), nil, []runner.RunEnd{{Number: 1, Task: workload.TaskID{Job: "other"}, Run: 7, Kind: runner.EndDone}})
	r.wantFindings(dispatch.EndOfUnknownTask)
}

// TestRecordedEndIsNoFinding checks that an end that is listed again until it is
// acknowledged is no finding.
func TestRecordedEndIsNoFinding(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "job", step(1, 4))
	start := r.plan()[0]
	for range 2 {
		r.advance(time.Second)
		r.report(worker(0), nil, []runner.RunEnd{end(1, start, runner.EndDone)})
	}
	r.wantFindings()
}
