package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// endedBytes is what an ended job may count for.
const endedBytes = 256

// completeJobs submits jobs, of which all tasks end as done at once.
func (r *rig) completeJobs(first, n int) {
	r.t.Helper()
	for i := range n {
		job := &workload.Job{ID: fmt.Sprint("job", first+i), Queue: queueShort.Name, Steps: []workload.Step{step(1, 1)}, Submitted: r.now.UnixMilli()}
		r.state.Accept(r.now, r.now.UnixMilli(), job, queueShort)
	}
	r.flush()
	for done := 0; done < n; {
		starts := r.plan()
		if len(starts) == 0 {
			r.t.Fatalf("%d of %d jobs are done", done, n)
		}
		r.endAll(1, starts, runner.EndDone)
		r.flush()
		done += len(starts)
	}
}

// TestEndedJobsTakeLittleMemory guards against an owner whose memory is full of small jobs that
// have ended, and that refuses new jobs until they can't be queried any more.
func TestEndedJobsTakeLittleMemory(t *testing.T) {
	const jobs = 200
	r := newRig(t, 1)
	r.completeJobs(0, jobs)
	r.advance(3 * time.Second)
	r.flush()
	if held := r.state.HeldBytes(); held > jobs*endedBytes || held != r.state.HeldBytesOf(queueShort.Name) {
		t.Errorf("%d ended jobs count for %d bytes, %d of their queue", jobs, held, r.state.HeldBytesOf(queueShort.Name))
	}
	r.wantState("job7", workload.Complete)
	if !r.state.HasJob("job7") || !r.state.JobStored("job7") || !r.state.JobFlushed("job7") || !r.state.Cancel(r.now, "job7") {
		t.Error("an ended job isn't known")
	}
	r.wantState("job7", workload.Complete) // it can't be cancelled any more
	late := runner.RunEnd{Number: 10_000, Task: workload.TaskID{Job: "job7"}, Run: 1 << 30, Kind: runner.EndStopped}
	r.report(worker(0), nil, []runner.RunEnd{late})
	if findings := r.state.TakeFindings(); len(findings) > 0 {
		t.Errorf("the late end of an ended job's run is found strange: %v", findings)
	}
	r.advance(time.Minute)
	for range jobs/40 + 1 { // a batch has room for the rows of some 49
		r.flush()
	}
	if held := r.state.HeldBytes(); held != 0 || r.state.HasJob("job7") {
		t.Errorf("%d bytes are held after the jobs can't be queried any more", held)
	}
	for key := range r.rows {
		if strings.HasPrefix(key, dispatch.JobPrefix) || strings.HasPrefix(key, dispatch.ProgressPrefix) {
			t.Fatalf("row %s is left", key)
		}
	}
}

// TestTakeoverKeepsEndedJobs guards against a job that is unknown to the next owner although it
// can still be queried, and against a host that restores more ended jobs as a whole than it holds.
func TestTakeoverKeepsEndedJobs(t *testing.T) {
	const jobs = 1500
	r := newRig(t, 1)
	for i := range jobs / 100 {
		r.completeJobs(100*i, 100)
		r.advance(200 * time.Millisecond)
	}
	r.takeOver(worker(0))
	if held, whole := r.state.HeldBytes(), int64(jobs)*dispatch.JobBytes(&workload.Job{Steps: []workload.Step{step(1, 1)}}); held > whole*3/4 {
		t.Errorf("%d bytes are held of %d jobs, %d as a whole", held, jobs, whole)
	}
	for i := range jobs {
		r.wantState(fmt.Sprint("job", i), workload.Complete)
	}
	r.members(1)
	r.report(worker(0), nil, nil)
	for range 100 {
		r.advance(time.Second)
		r.report(worker(0), nil, nil)
		r.flush()
	}
	if left := slices.Sorted(maps.Keys(r.rows)); slices.ContainsFunc(left, func(key string) bool { return strings.HasPrefix(key, dispatch.JobPrefix) }) {
		t.Errorf("rows are left of jobs that can't be queried any more, %d in all", len(left))
	}
}
