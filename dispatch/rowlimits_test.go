package dispatch_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// longWorkers returns workers whose IDs are as long as keys of the store may be.
func longWorkers(n int) []runner.Worker {
	var list []runner.Worker
	for i := range n {
		id := fmt.Sprint(i)
		list = append(list, workerInfo(id+strings.Repeat("w", infra.DefaultTableLimits().KeyBytes-len(id))))
	}
	return list
}

// TestRosterPartsFitRows guards against a part of the roster that is larger than a row, so that
// the owner commits nothing any more: many workers with long IDs. Those that are listed stay so.
func TestRosterPartsFitRows(t *testing.T) {
	const first, more = 10_000, 20_000
	r := newRig(t, 0)
	r.state.SetMembers(r.now, longWorkers(first))
	r.flush() // fails if a row is too large
	listed := r.roster()
	if len(listed) < first*9/10 {
		t.Errorf("%d of %d workers are listed", len(listed), first)
	}
	r.state.SetMembers(r.now, longWorkers(more))
	r.flush()
	now := map[string]bool{}
	for _, id := range r.roster() {
		now[id] = true
	}
	if len(now) >= more {
		t.Errorf("%d workers are listed, which can't fit", len(now))
	}
	for _, id := range listed {
		if !now[id] {
			t.Fatalf("worker %.10s, which may have runs, is no longer listed", id)
		}
	}
}

// largestRowJob returns the accepted job with the largest row.
func largestRowJob(id string) *workload.Job {
	long := strings.Repeat("n", workload.MaxName)
	job := &workload.Job{ID: id, Queue: queueShort.Name, Payload: strings.Repeat("p", workload.MaxPayload), Submitted: 1}
	for i := range workload.MaxSteps {
		s := step(1, 1)
		s.Image, s.Label, s.DataRack = long, long, long
		for range i {
			s.After = append(s.After, 0)
		}
		job.Steps = append(job.Steps, s)
	}
	return job
}

// TestJobRowIsBounded guards against a new job whose row the store never takes.
func TestJobRowIsBounded(t *testing.T) {
	limits := infra.DefaultTableLimits()
	if err := dispatch.CheckSize(largestRowJob("job"), queueShort, limits); err != nil {
		t.Errorf("the largest job isn't accepted: %v", err)
	}
	long := queueShort
	long.Name = strings.Repeat("q", limits.RowBytes)
	if err := dispatch.CheckSize(largestRowJob("job"), long, limits); err == nil {
		t.Error("a job whose row is too large is accepted")
	}
}

// TestBurstOfLargeJobsFitsTransactions guards against a transaction that the store never takes:
// many new jobs, each of which fits, are together larger.
func TestBurstOfLargeJobsFitsTransactions(t *testing.T) {
	const jobs = 60
	r := newRig(t, 1)
	for i := range jobs {
		job := largestRowJob(fmt.Sprint("job", i))
		job.Submitted = r.now.UnixMilli()
		r.state.Accept(r.now, r.now.UnixMilli(), job, queueShort)
	}
	r.flush() // fails if a transaction is too large
	for i := range jobs {
		r.wantState(fmt.Sprint("job", i), workload.Queued)
	}
}
