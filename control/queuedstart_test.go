package control

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/workload"
)

// TestQueuedStartIsSentThoughItsJobIsCancelled guards against a start that waits behind
// an unanswered order and is sent after its job was cancelled.
func TestQueuedStartIsSentThoughItsJobIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, workers := startOwner(t, "w0")
		workers.holdStarts("w0")
		submitTask(t, o, "first", workload.Step{})
		awaitOrders(t, o, "w0", func(queued int) bool { return workers.held("w0") && queued == 0 })
		submitTask(t, o, "cancelled", workload.Step{})
		awaitOrders(t, o, "w0", func(queued int) bool { return queued > 0 })
		if r := o.cancel(t.Context(), "cancelled"); r.Result != ResultDone {
			t.Fatalf("cancel: %v", r.Result)
		}
		workers.releaseStarts("w0")
		synctest.Wait()
		workers.expectStarts(t, "w0", "first")
	})
}

// TestQueuedCopyIsSentThoughItsTaskHasEnded guards against a copy of a speculative task
// that waits behind an unanswered order and is sent after the task's end was recorded.
func TestQueuedCopyIsSentThoughItsTaskHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, workers := startOwner(t, "w0", "w1")
		submitTask(t, o, "slow", workload.Step{Speculative: true})
		eventually(t, func() bool { return len(workers.startsAt("w0"))+len(workers.startsAt("w1")) > 0 })
		first, second := "w0", "w1"
		if len(workers.startsAt(first)) == 0 {
			first, second = second, first
		}
		workers.holdStarts(second)
		pause.For(t.Context(), testEstimate-20*time.Millisecond) // the copy is almost due
		submitTask(t, o, "blocking", workload.Step{Label: second})
		awaitOrders(t, o, second, func(queued int) bool { return workers.held(second) && queued > 0 })
		workers.finishAll(first)
		awaitState(t, o, "slow", workload.Complete)
		workers.releaseStarts(second)
		synctest.Wait()
		workers.expectStarts(t, second, "blocking")
	})
}

// TestResigningOwnerSendsQueuedStarts guards against an owner that resigns and, until the
// domain is given up, goes on sending the starts that it had queued.
func TestResigningOwnerSendsQueuedStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &blockingTable{Table: memtable.New()}
		o, workers := startOwnerOn(t, table, "w0")
		workers.holdStarts("w0")
		submitTask(t, o, "first", workload.Step{})
		awaitOrders(t, o, "w0", func(queued int) bool { return workers.held("w0") && queued == 0 })
		submitTask(t, o, "queued", workload.Step{})
		awaitOrders(t, o, "w0", func(queued int) bool { return queued > 0 })
		eventually(t, func() (held bool) {
			onLoop(o, func() {
				if held = !o.committing; held {
					table.hold = make(chan struct{})
				}
			})
			return held
		})
		defer close(table.hold)
		go o.resign(o.ctx)
		synctest.Wait()
		workers.releaseStarts("w0")
		synctest.Wait()
		workers.expectStarts(t, "w0", "first")
	})
}

// testEstimate is the estimate of all tasks of these tests.
const testEstimate = time.Second

// startOwner starts an owner with the given workers, and waits until they have reported.
func startOwner(t *testing.T, ids ...string) (*Owner, *heldWorkers) {
	t.Helper()
	return startOwnerOn(t, memtable.New(), ids...)
}

// startOwnerOn is startOwner with a given table.
func startOwnerOn(t *testing.T, table infra.Table, ids ...string) (*Owner, *heldWorkers) {
	t.Helper()
	workers := newHeldWorkers(ids...)
	o := newOwner(context.Background(), Options{
		Host: "a", Table: table, Workers: workers, Members: workers, Log: slog.New(slog.DiscardHandler),
		Metrics: NewMetrics(prometheus.NewRegistry()), Retention: time.Minute, MaxLease: 10 * time.Second,
	}, acquireDomain(t, table), Config{Version: 1, Queues: []workload.Queue{heldQueue}}, boottime())
	go o.run()
	t.Cleanup(func() {
		o.quit(context.Canceled)
		<-o.stopped
	})
	for _, id := range ids {
		awaitOrders(t, o, id, func(int) bool { return workers.reported(id) })
	}
	return o, workers
}

// heldQueue is the queue of these tests' jobs.
var heldQueue = workload.Queue{Name: "q", Pool: "pool", MaxAttempts: 1, Stretch: 2, Target: time.Second}

// submitTask submits a job of one task and waits until it is durable.
func submitTask(t *testing.T, o *Owner, id string, step workload.Step) {
	t.Helper()
	step.Tasks, step.Estimate, step.DisruptionBudget = 1, testEstimate, -1
	step.Needs = infra.Resources{MilliCPU: 1000, MemoryMB: 100}
	if r := o.submit(t.Context(), &workload.Job{ID: id, Queue: heldQueue.Name, Steps: []workload.Step{step}}, heldQueue); r.Result != ResultDone {
		t.Fatalf("submit %s: %v", id, r.Result)
	}
}

// heldWait bounds a wait of these tests, in the time of the bubble.
const heldWait = 250 * time.Millisecond

// awaitOrders waits until a condition on the number of orders queued for a worker holds.
func awaitOrders(t *testing.T, o *Owner, worker string, holds func(queued int) bool) {
	t.Helper()
	eventually(t, func() bool {
		queued := 0
		onLoop(o, func() {
			if s := o.sessions[worker]; s != nil {
				queued = s.orders.waiting()
			}
		})
		return holds(queued)
	})
}

// awaitState waits until a job has the given state.
func awaitState(t *testing.T, o *Owner, id string, want workload.State) {
	t.Helper()
	eventually(t, func() bool { return o.jobState(t.Context(), id).State == want })
}

// eventually waits until a condition holds.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < heldWait; pause.For(t.Context(), time.Millisecond) {
		synctest.Wait()
		if holds() {
			return
		}
	}
	t.Fatal("condition not met")
}

// TestRemovedWorkerKeepsStartsInFlight guards against starts that were queued for a worker
// when it was removed and count as in flight ever after: once they reach the limit, the
// owner starts nothing more.
func TestRemovedWorkerKeepsStartsInFlight(t *testing.T) {
	const tasks = 8
	synctest.Test(t, func(t *testing.T) {
		o, workers := startOwner(t, "w0")
		workers.holdStarts("w0")
		for i := range tasks {
			submitTask(t, o, fmt.Sprint("job", i), workload.Step{})
		}
		awaitOrders(t, o, "w0", func(queued int) bool { return queued == tasks-1 })
		onLoop(o, func() { o.state.HandleRestart(time.Now(), "w0") })
		eventually(t, func() (removed bool) {
			onLoop(o, func() { removed = o.sessions["w0"] == nil })
			return removed
		})
		synctest.Wait()
		var inFlight int
		onLoop(o, func() { inFlight = o.traffic.State(time.Now()).StartsInFlight })
		if inFlight != 0 {
			t.Errorf("%d starts count as in flight after their only worker was removed, want 0", inFlight)
		}
	})
}

// onLoop runs f on the owner's loop and waits for it.
func onLoop(o *Owner, f func()) {
	done := make(chan struct{})
	o.post(func() {
		f()
		close(done)
	})
	<-done
}
