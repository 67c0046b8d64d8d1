package dispatch_test

import (
	"slices"
	"testing"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	// largeJobTasks is the number of tasks that run at once in the tests of large jobs.
	largeJobTasks = 6600
	// maxRowBytes is the maximum size of a row.
	maxRowBytes = 64 << 10
)

// TestProgressOfLargeJobFitsARow guards against commits that the store refuses for good: the
// locations of a job's runs made its progress larger than a row, so that nothing was durable
// any more and tasks of lost workers never ran again.
func TestProgressOfLargeJobFitsARow(t *testing.T) {
	const workers = 66
	r := newRig(t, 0)
	r.largeMembers(workers)
	small := func(s *workload.Step) { s.Needs = infra.Resources{MilliCPU: 300, MemoryMB: 300} }
	r.submit(queueShort, "job", step(largeJobTasks, 1, longRunning, small))
	started := 0
	for range 100 {
		started += len(r.plan())
		r.advance(testTick)
	}
	if started != largeJobTasks {
		t.Fatalf("%d tasks started, want %d", started, largeJobTasks)
	}
	r.flush()
	for key, value := range r.rows {
		if len(value) > maxRowBytes {
			t.Errorf("row %s has %d bytes, want %d at most", key, len(value), maxRowBytes)
		}
	}
	value := r.rows[dispatch.ProgressPrefix+"job"]
	row, err := dispatch.DecodeProgressRow(value)
	if err != nil {
		t.Fatal(err)
	}
	tasks := map[int]bool{}
	for _, l := range row.Running {
		tasks[l.Index] = true
	}
	if len(row.Running) != largeJobTasks || len(tasks) != largeJobTasks {
		t.Errorf("%d locations of %d tasks are durable, want %d", len(row.Running), len(tasks), largeJobTasks)
	}
}

// TestFailedRunsOfLargeJobDoNotStopOthers guards against an owner that commits nothing any more
// since the list of a large job's failed runs is larger than a row, and so is stuck with its
// successors: all accepted jobs lie idle. The attempts are counted across owners.
func TestFailedRunsOfLargeJobDoNotStopOthers(t *testing.T) {
	const workers, tasks = 10, 4000
	r := newRig(t, 0)
	r.largeMembers(workers)
	small := func(s *workload.Step) { s.Needs = infra.Resources{MilliCPU: 100, MemoryMB: 10} }
	r.submit(queueShort, "large", step(tasks, 1, small))
	starts := r.plan()
	if len(starts) != tasks {
		t.Fatalf("%d tasks started, want %d", len(starts), tasks)
	}
	r.flush()
	r.endAll(workers, starts, runner.EndFailed)
	r.flush()
	r.submit(queueShort, "small", step(1, 1))
	if other := r.plan(); len(other) == 0 || !startedJob(other, "small") {
		t.Error("the other job doesn't start")
	}
	var roster []string
	for i := range workers {
		roster = append(roster, worker(i))
	}
	r.takeOver(roster...)
	r.largeMembers(workers)
	again := r.plan()
	r.flush()
	again = append(again, r.plan()...)
	again = slices.DeleteFunc(again, func(o dispatch.StartOrder) bool { return o.Start.Task.Job != "large" })
	if len(again) == 0 {
		t.Fatal("no task starts again")
	}
	r.flush()
	r.endAll(workers, again[:1], runner.EndFailed)
	r.flush()
	r.wantState("large", workload.Failed)
}

// startedJob reports whether a task of a job is among the starts.
func startedJob(starts []dispatch.StartOrder, id string) bool {
	return slices.ContainsFunc(starts, func(o dispatch.StartOrder) bool { return o.Start.Task.Job == id })
}

// endAll reports the ends of runs by their workers.
func (r *rig) endAll(workers int, starts []dispatch.StartOrder, kind runner.EndKind) {
	r.t.Helper()
	for i := range workers {
		var ends []runner.RunEnd
		for _, o := range starts {
			if o.Worker.ID == worker(i) {
				r.ends++
				ends = append(ends, end(r.ends, o, kind))
			}
		}
		r.report(worker(i), nil, ends)
	}
}
