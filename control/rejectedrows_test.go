package control

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/workload"
)

// within waits until a condition holds, for the given time in the bubble at most.
func within(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < limit; pause.For(t.Context(), 10*time.Millisecond) {
		synctest.Wait()
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}

// rejecting makes a table reject the rows with a key for good, until the returned function is
// called.
func rejecting(table *memtable.Table, key string) (end func()) {
	set := func(reject func(string) bool) { table.Set(func(f *memtable.Faults) { f.Reject = reject }) }
	set(func(k string) bool { return k == key })
	return func() { set(nil) }
}

// stateWithin waits until a job has the given state.
func stateWithin(t *testing.T, o *Owner, id string, want workload.State) {
	t.Helper()
	within(t, 3*time.Second, id+" is "+want.String(), func() bool { return o.jobState(t.Context(), id).State == want })
}

// unacknowledged returns the number of ends that a worker still lists.
func (h *heldWorkers) unacknowledged(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.workers[id].ends)
}

// TestRejectedProgressDoesNotStopOthers guards against an owner that repeats a transaction
// which the store never takes, because of one job's row, until another host takes over and does
// the same: accepted jobs lay idle, and no cancel and no end was acknowledged.
func TestRejectedProgressDoesNotStopOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New()
		o, workers := startOwnerOn(t, table, "w0")
		end := rejecting(table, dispatch.ProgressPrefix+"bad")
		submitTask(t, o, "bad", workload.Step{})
		submitTask(t, o, "good", workload.Step{})
		submitTask(t, o, "cancelled", workload.Step{})
		within(t, time.Second, "all start", func() bool { return len(workers.startsAt("w0")) == 3 })
		if r := o.cancel(t.Context(), "cancelled"); r.Result != ResultDone {
			t.Errorf("cancel: %v", r.Result)
		}
		workers.finishAll("w0")
		stateWithin(t, o, "good", workload.Complete)
		within(t, 3*time.Second, "ends are acknowledged", func() bool { return workers.unacknowledged("w0") == 0 })
		submitTask(t, o, "late", workload.Step{})
		if err := o.ctx.Err(); err != nil {
			t.Fatalf("the owner has ended: %v", context.Cause(o.ctx))
		}
		if n := len(rowsOf(t, table, dispatch.EndsPrefix+"bad")); n != 1 {
			t.Errorf("%d rows with the ends of the rejected job, want 1", n)
		}
		rejected := table.Stats().Rejected
		pause.For(t.Context(), 5*time.Second)
		if more := table.Stats().Rejected - rejected; more > 0 {
			t.Errorf("%d more transactions were rejected within 5 s", more)
		}

		end()
		within(t, 15*time.Second, "the rejected row is written", func() bool { return o.jobState(t.Context(), "bad").State == workload.Complete })
		if n := len(rowsOf(t, table, dispatch.EndsPrefix+"bad")); n != 0 {
			t.Errorf("%d rows with the ends of the job are left", n)
		}
	})
}

// rowsOf returns the rows whose keys have a prefix.
func rowsOf(t *testing.T, table infra.Table, prefix string) []infra.Row {
	t.Helper()
	rows, err := table.Scan(t.Context(), prefix, "", 100)
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// TestEndsOfRejectedJobReachSuccessor guards against a task that is started again by the next
// owner although its end was acknowledged: its job's progress was rejected.
func TestEndsOfRejectedJobReachSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New()
		o, workers := startOwnerOn(t, table, "w0")
		end := rejecting(table, dispatch.ProgressPrefix+"bad")
		submitTask(t, o, "bad", workload.Step{})
		within(t, time.Second, "it starts", func() bool { return len(workers.startsAt("w0")) == 1 })
		workers.finishAll("w0")
		within(t, 3*time.Second, "its end is acknowledged", func() bool { return workers.unacknowledged("w0") == 0 })
		o.quit(context.Canceled)
		<-o.stopped
		end()
		next := newTestOwner(t, table)
		if err := next.load(); err != nil {
			t.Fatal(err)
		}
		b, err := next.state.Flush(time.Now(), maxBatchWrites)
		if err != nil {
			t.Fatal(err)
		}
		if err := next.committer.Commit(t.Context(), b.Writes); err != nil {
			t.Fatal(err)
		}
		next.state.MarkFlushed(b)
		if state, _ := next.state.JobState("bad"); state != workload.Complete {
			t.Errorf("the job is %v for the next owner, want complete", state)
		}
	})
}

// TestRejectedNewJobIsRefused guards against a submission that is neither accepted nor refused,
// and holds up others, because the store never takes its row.
func TestRejectedNewJobIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New()
		o, workers := startOwnerOn(t, table, "w0")
		rejecting(table, dispatch.JobPrefix+"bad")
		spec := workload.Job{ID: "bad", Queue: heldQueue.Name, Steps: []workload.Step{{Tasks: 1, Estimate: testEstimate, DisruptionBudget: -1}}}
		if r := o.submit(t.Context(), &spec, heldQueue); r.Result != ResultRefused || r.RetryAfterMS == 0 {
			t.Errorf("submit: %+v, want a refusal", r)
		}
		submitTask(t, o, "good", workload.Step{})
		within(t, time.Second, "the other starts", func() bool { return slices.Contains(workers.startsAt("w0"), "good") })
		onLoop(o, func() {
			if o.state.HasJob("bad") {
				t.Error("the refused job is kept")
			}
		})
	})
}

// join adds an idle worker.
func (h *heldWorkers) join(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.order = append(h.order, id)
	h.workers[id] = &heldWorker{changed: make(chan struct{})}
}

// TestRejectedEstimatesAndRosterDoNotStopOthers guards against an owner that hangs since the
// store never takes the estimates, or a part of the roster.
func TestRejectedEstimatesAndRosterDoNotStopOthers(t *testing.T) {
	for _, prefix := range []string{dispatch.EstimatesKey, dispatch.RosterPrefix} {
		synctest.Test(t, func(t *testing.T) {
			table := memtable.New()
			o, workers := startOwnerOn(t, table, "w0")
			table.Set(func(f *memtable.Faults) { f.Reject = func(key string) bool { return strings.HasPrefix(key, prefix) } })
			workers.join("w1")
			pause.For(t.Context(), time.Second)
			if len(workers.startsAt("w1")) > 0 {
				t.Error("a worker got orders that the roster doesn't list")
			}
			submitTask(t, o, "good", workload.Step{Image: "i"})
			within(t, time.Second, "it starts", func() bool { return len(workers.startsAt("w0")) == 1 })
			workers.finishAll("w0")
			stateWithin(t, o, "good", workload.Complete)
			if o.ctx.Err() != nil {
				t.Errorf("the owner has ended: %v", context.Cause(o.ctx))
			}
		})
	}
}
