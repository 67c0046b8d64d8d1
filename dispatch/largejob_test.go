package dispatch_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/infra"
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
