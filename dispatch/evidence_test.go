package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// TestOrdersSayWhy gives with each order what it was decided by.
func TestOrdersSayWhy(t *testing.T) {
	r, serving, filler := besideServing(t)
	if k := filler.Snapshot; k.Serving != 1 || k.MinSlack < 3.5 || k.FreeMilliCPU != 8000 || k.ReportAge != 0 {
		t.Errorf("start went by %+v, want one that serves with a slack of 3.8 and 8 cores free", k)
	}
	r.pass(1500 * time.Millisecond)
	started := halfDone(filler)
	started.Percent = 10 // little is lost by beginning anew
	r.report(worker(0), []runner.ActiveRun{withTail(serving, 90), started}, nil)
	r.pass(20 * time.Millisecond)
	stops := r.state.Plan(r.now).Stops
	if len(stops) != 1 || stops[0].Cause != dispatch.TailTooLong {
		t.Fatalf("stops %+v, want the filler moved for the tail's sake", stops)
	}
	if k := stops[0].Snapshot; k.MinSlack > 0.6 || k.BestEffort != 1 || k.ReportAge != 20*time.Millisecond {
		t.Errorf("stop went by %+v, want a slack of 0.56, reported 20 ms before", k)
	}
	r.state.Cancel(r.now, "serving")
	if stops = r.state.Plan(r.now).Stops; len(stops) != 1 || stops[0].Cause != dispatch.JobEnded {
		t.Errorf("stops %+v after a cancel, want one of a job that is over", stops)
	}
}

// TestEndIsNewOnce reports an end as new once, though its worker lists it until
// it is durable.
func TestEndIsNewOnce(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "job", step(1, 1))
	ends := []runner.RunEnd{end(1, r.plan()[0], runner.EndDone)}
	if got := r.report(worker(0), nil, ends); len(got) != 1 {
		t.Errorf("%d ends were new, want 1", len(got))
	}
	if got := r.report(worker(0), nil, ends); len(got) != 0 {
		t.Errorf("listed again, %d ends were new, want none", len(got))
	}
}
