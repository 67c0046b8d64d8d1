package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// TestOrdersCarryWorkerSnapshot checks that each order carries the state of the
// worker that it was based on.
func TestOrdersCarryWorkerSnapshot(t *testing.T) {
	r, serving, bestEffort := startBestEffort(t)
	if known := bestEffort.Snapshot; known.Serving != 1 || known.MinSlack < 3.5 || known.FreeMilliCPU != 8000 || known.ReportAge != 0 {
		t.Errorf("start order has snapshot %+v, want one serving run with a slack of 3.8 and 8 free cores", known)
	}
	r.advance(1500 * time.Millisecond)
	started := halfDone(bestEffort)
	started.Percent = 10 // little work is lost by a restart
	r.report(worker(0), []runner.ActiveRun{withTail(serving, 90), started}, nil)
	r.advance(20 * time.Millisecond)
	stops := r.state.Plan(r.now).Stops
	if len(stops) != 1 || stops[0].Cause != dispatch.TailTooLong {
		t.Fatalf("stops %+v, want the best-effort run stopped because of the tail", stops)
	}
	if known := stops[0].Snapshot; known.MinSlack > 0.6 || known.BestEffort != 1 || known.ReportAge != 20*time.Millisecond {
		t.Errorf("stop order has snapshot %+v, want a slack of 0.56 reported 20 ms before", known)
	}
	r.state.Cancel(r.now, "serving")
	if stops = r.state.Plan(r.now).Stops; len(stops) != 1 || stops[0].Cause != dispatch.JobEnded {
		t.Errorf("stops %+v after a cancellation, want one for an ended job", stops)
	}
}

// TestEndIsReturnedOnce checks that an end is returned as new only once,
// although its worker lists it until it is acknowledged.
func TestEndIsReturnedOnce(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "job", step(1, 1))
	ends := []runner.RunEnd{end(1, r.plan()[0], runner.EndDone)}
	if got := r.report(worker(0), nil, ends); len(got) != 1 {
		t.Errorf("%d ends returned by the first report, want 1", len(got))
	}
	if got := r.report(worker(0), nil, ends); len(got) != 0 {
		t.Errorf("%d ends returned by the second report, want none", len(got))
	}
}
