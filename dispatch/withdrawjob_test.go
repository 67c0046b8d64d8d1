package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// accept accepts a job of one task without committing it.
func (r *rig) accept(id string) {
	spec := &workload.Job{ID: id, Queue: queueShort.Name, Steps: []workload.Step{step(1, 4)}, Submitted: r.now.UnixMilli()}
	r.state.Accept(r.now, r.now.UnixMilli(), spec, queueShort)
}

// collect collects a batch of all changes.
func (r *rig) collect() *dispatch.Batch {
	r.t.Helper()
	b, err := r.state.Flush(r.now, 98)
	if err != nil {
		r.t.Fatal(err)
	}
	return b
}

// wantWithdrawn withdraws the jobs in no batch and checks which these were.
func (r *rig) wantWithdrawn(want ...string) {
	r.t.Helper()
	if got := r.state.WithdrawUncollected(); !slices.Equal(got, want) {
		r.t.Errorf("withdrew %v, want %v", got, want)
	}
}

// TestWithdrawnJobNeverRuns guards against a withdrawn job that is committed, or started
// by this owner or the next one, and against one in the commit in flight that is dropped.
func TestWithdrawnJobNeverRuns(t *testing.T) {
	r := newRig(t, 1)
	r.accept("sent")
	b := r.collect()
	for _, id := range []string{"first", "cancelled", "last"} {
		r.accept(id)
	}
	r.state.Cancel(r.now, "cancelled")
	r.wantWithdrawn("first", "cancelled", "last")
	r.wantWithdrawn()
	if r.state.HasJob("first") || r.state.HasJob("cancelled") || !r.state.HasJob("sent") {
		t.Error("the state holds other jobs than the one in the batch")
	}
	if n := r.state.PendingJobs(queueShort.Name); n != 1 {
		t.Errorf("%d jobs are pending, want 1", n)
	}
	r.apply(b)
	r.flush()
	if starts := r.plan(); len(starts) != 1 || starts[0].Start.Task.Job != "sent" {
		t.Errorf("started %v, want the job of the batch", starts)
	}
	r.takeOver(worker(0))
	for _, id := range []string{"first", "cancelled", "last"} {
		if r.state.HasJob(id) {
			t.Errorf("the next owner has %s", id)
		}
	}
}

// TestWithdrawnJobSubmittedAgainRunsOnce guards against a withdrawn job that blocks or
// doubles its next submission.
func TestWithdrawnJobSubmittedAgainRunsOnce(t *testing.T) {
	r := newRig(t, 2)
	r.accept("job")
	r.wantWithdrawn("job")
	r.accept("job")
	r.flush()
	starts := r.plan()
	r.flush()
	if starts = append(starts, r.plan()...); len(starts) != 1 {
		t.Errorf("%d starts, want 1", len(starts))
	}
}

// TestCollectedJobIsNotWithdrawn guards against a job that is dropped though a batch
// contains it that may have been sent. That batch stays relevant after a later change of
// the job.
func TestCollectedJobIsNotWithdrawn(t *testing.T) {
	r := newRig(t, 1)
	r.accept("job")
	r.collect()
	r.wantWithdrawn()
	r.state.Cancel(r.now, "job")
	r.wantWithdrawn()
	if !r.state.HasJob("job") {
		t.Error("the job is gone")
	}
}

// TestKnownJobIsNotWithdrawn guards against a job of an earlier owner that is dropped
// since no batch of this owner contains it: it is durable and may run.
func TestKnownJobIsNotWithdrawn(t *testing.T) {
	r := newRig(t, 1)
	r.submit(queueShort, "job", step(1, 4))
	r.takeOver(worker(0))
	r.state.Cancel(r.now, "job") // a change that no batch contains
	r.accept("waiting")
	r.wantWithdrawn("waiting")
	r.flush()
	r.wantState("job", workload.Cancelled)
}

// TestJobWithRunIsNotWithdrawn guards against a job that is dropped although a worker has
// reported a run of it, also after its cancellation.
func TestJobWithRunIsNotWithdrawn(t *testing.T) {
	r := newRig(t, 1)
	for _, id := range []string{"running", "cancelled", "waiting"} {
		r.accept(id)
	}
	run := func(job string) runner.ActiveRun {
		return runner.ActiveRun{Task: workload.TaskID{Job: job}, Run: 1, Percent: 100}
	}
	r.report(worker(0), []runner.ActiveRun{run("running"), run("cancelled")}, nil)
	r.state.Cancel(r.now, "cancelled")
	r.wantWithdrawn("waiting")
}

// TestHeldBytesFollowJobs guards against memory that stays counted for jobs that are gone.
func TestHeldBytesFollowJobs(t *testing.T) {
	r := newRig(t, 1)
	r.accept("kept")
	r.flush()
	held := r.state.HeldBytes()
	if held <= 0 {
		t.Fatalf("%d bytes are held for a job", held)
	}
	r.accept("withdrawn")
	r.accept("withdrawn")
	if n := r.state.HeldBytes(); n != 2*held {
		t.Errorf("%d bytes are held for two jobs, %d for one", n, held)
	}
	r.wantWithdrawn("withdrawn")
	r.takeOver(worker(0))
	if n := r.state.HeldBytes(); n != held {
		t.Errorf("the next owner holds %d bytes, want %d", n, held)
	}
	r.state.Cancel(r.now, "kept")
	r.flush()
	r.advance(time.Hour)
	r.flush()
	if n := r.state.HeldBytes(); n != 0 {
		t.Errorf("%d bytes are held after the last job", n)
	}
}
