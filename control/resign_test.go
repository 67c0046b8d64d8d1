package control

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// maxPosted bounds the functions posted to the loop while a commit is in flight:
// the resignation and the end of the commit.
const maxPosted = 2

// TestResignDuringCommit guards against a resignation that posts to the loop
// again and again while a commit is in flight, which would keep the host's
// processor busy. Both jobs must be durable in the end, and the domain given up.
func TestResignDuringCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &blockingTable{Table: memtable.New()}
		o := newTestOwner(t, table)
		table.hold = make(chan struct{})
		acceptJob(o, "first")
		o.flush(time.Now())
		acceptJob(o, "second") // while the first commit is in flight
		resigned := make(chan struct{})
		go func() {
			defer close(resigned)
			o.resign(o.ctx)
		}()
		if posted := runPosted(o); posted > maxPosted {
			close(table.hold)
			t.Fatalf("%d or more functions were posted to the loop while a commit was in flight, want at most %d", posted, maxPosted)
		}
		close(table.hold)
		go o.run()
		<-resigned
		expectResigned(t, table, "first", "second")
	})
}

// runPosted runs the functions posted to the owner's loop until none is left or
// a limit is reached. It returns their number.
func runPosted(o *Owner) int {
	const endless = 100
	for posted := range endless {
		synctest.Wait()
		select {
		case f := <-o.events:
			f()
		default:
			return posted
		}
	}
	return endless
}

// acceptJob accepts a job with one task.
func acceptJob(o *Owner, id string) {
	now := time.Now()
	job := &workload.Job{ID: id, Queue: "q", Steps: []workload.Step{{Tasks: 1, Estimate: time.Second, DisruptionBudget: -1}}}
	o.state.Accept(now, now.UnixMilli(), job, workload.Queue{Name: "q", Pool: "pool", MaxAttempts: 1})
}

// expectResigned checks that the owner's row is marked as resigned and the jobs
// are durable.
func expectResigned(t *testing.T, table infra.Table, jobs ...string) {
	t.Helper()
	record, _, err := election.Read(context.Background(), table)
	if err != nil || !record.Resigned {
		t.Errorf("owner row is %+v, error %v; want it marked as resigned", record, err)
	}
	for _, id := range jobs {
		rows, err := table.Get(context.Background(), dispatch.JobPrefix+id)
		if err != nil || len(rows) != 1 || rows[0].Version == 0 {
			t.Errorf("job %s isn't durable: rows %v, error %v", id, rows, err)
		}
	}
}

// newTestOwner returns an owner of an empty domain whose loop isn't running. It
// ends with the test.
func newTestOwner(t *testing.T, table infra.Table) *Owner {
	t.Helper()
	return newTestOwnerAt(t, table, boottime())
}

// newTestOwnerAt is newTestOwner with the boottime at which the takeover was sent.
func newTestOwnerAt(t *testing.T, table infra.Table, acquiredAt time.Duration) *Owner {
	t.Helper()
	o := newOwner(context.Background(), Options{
		Host: "a", Table: table, Members: noMembers{}, Log: slog.New(slog.DiscardHandler),
		Metrics: NewMetrics(prometheus.NewRegistry()), Retention: time.Minute, MaxLease: 10 * time.Second,
	}, acquireDomain(t, table), Config{Version: 1, Queues: []workload.Queue{{Name: "q", Pool: "pool"}}}, acquiredAt)
	t.Cleanup(func() {
		o.quit(context.Canceled)
		select {
		case <-o.stopped:
		default:
			o.run() // releases goroutines that wait for the owner's end
		}
	})
	return o
}

// noMembers is an empty membership list.
type noMembers struct{}

// List implements Members.
func (noMembers) List(context.Context) ([]runner.Worker, error) { return nil, nil }

// blockingTable is a table whose commits block until hold is closed.
type blockingTable struct {
	infra.Table
	// hold is nil while commits don't block.
	hold chan struct{}
}

// Commit implements infra.Table.
func (h *blockingTable) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if h.hold != nil {
		<-h.hold
	}
	return h.Table.Commit(ctx, tx)
}
