package dispatch_test

import (
	"maps"
	"testing"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// restoreUnreadable restores an owner that can't decode the rows of a job.
func (r *rig) restoreUnreadable(id string, roster ...string) {
	r.t.Helper()
	rows := maps.Clone(r.rows)
	delete(r.rows, dispatch.JobPrefix+id)
	r.takeOver(roster...)
	r.rows = rows
	r.state.SkipJob(id, r.endsRow(id))
}

// endsRow returns the committed ends of a job whose rows an owner couldn't decode.
func (r *rig) endsRow(id string) *dispatch.EndsRow {
	r.t.Helper()
	value, ok := r.rows[dispatch.EndsPrefix+id]
	if !ok {
		return nil
	}
	row, err := dispatch.DecodeEndsRow(value)
	if err != nil {
		r.t.Fatal(err)
	}
	return row
}

// acknowledgesNext reports up to which number the next renewal of worker 0 acknowledges ends.
func (r *rig) acknowledgesNext() uint64 {
	r.t.Helper()
	_, o, ok := r.state.Renewal(r.now, worker(0), testLease)
	if !ok {
		r.t.Fatal("the worker isn't known")
	}
	return o.Acknowledged
}

// TestEndsOfUnreadableJobAreKept guards against tasks that are started again after an end as
// done that was acknowledged: the rows of their job couldn't be decoded by the owner that
// acknowledged it, as they are of a later release, and its successor can decode them.
func TestEndsOfUnreadableJobAreKept(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "job", step(3, 2))
	starts := r.plan()
	r.flush()
	ends := []runner.RunEnd{end(1, starts[0], runner.EndDone), end(2, starts[1], runner.EndFailed)}
	r.restoreUnreadable("job", worker(0))
	r.members(1)
	r.report(worker(0), []runner.ActiveRun{active(starts[2])}, ends)
	if acknowledged := r.acknowledgesNext(); acknowledged != 0 {
		t.Errorf("ends up to %d are acknowledged before a commit", acknowledged)
	}
	r.flush()
	if acknowledged := r.acknowledgesNext(); acknowledged != 2 {
		t.Errorf("ends up to %d are acknowledged after the commit, want 2", acknowledged)
	}

	r.restoreUnreadable("job", worker(0)) // another owner that can't decode them
	r.members(1)
	r.report(worker(0), nil, []runner.RunEnd{end(3, starts[2], runner.EndDone)})
	r.flush()

	r.takeOver(worker(0))
	if row := r.endsRow("job"); row != nil {
		r.state.RestoreEnds(r.now, "job", row)
	}
	r.members(1)
	r.report(worker(0), nil, nil)
	r.flush()
	if r.endsRow("job") != nil {
		t.Error("the applied ends are still stored")
	}
	again := r.plan()
	r.flush()
	again = append(again, r.plan()...)
	if len(again) != 1 || again[0].Start.Task != starts[1].Start.Task {
		t.Fatalf("started %+v again, want the failed task only", again)
	}
	r.report(worker(0), nil, []runner.RunEnd{end(4, again[0], runner.EndFailed)})
	r.flush()
	r.wantState("job", workload.Failed) // its second attempt
}
