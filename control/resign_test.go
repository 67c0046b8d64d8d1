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

// All hosts were restarted one after another, 0.3 s apart. An owner that got
// its SIGTERM while a commit was on the way asked its own loop again and again
// whether the commit was over. On a host with one processor that left no turn
// for the network: the commit's answer wasn't read, callers and peers got no
// answer; where that lasted for the whole stop, the process ended with requests
// unanswered that it had read. The log lines that settled it, of one host
// whose commit came through, and of one whose didn't:
//
//	6.805 s  giving the domain up for a planned stop (commit_under_way=true)
//	8.551 s  last commit before the domain is given up (turns=211377)
//	8.615 s  this host no longer owns the domain (err=resigned for a planned stop)
//
//	16.432 s  drain started
//	21.631 s  this host no longer owns the domain (err=resigned for a planned stop)
//	21.647 s  drain finished (ms=5215)
//
// A resignation without a commit under way took 0.03 s and one turn.

// mostTurns is how often the loop may be asked before a commit under way is
// over: for the resignation itself, and once more to take the commit in.
const mostTurns = 2

// TestResignDuringCommit resigns while a commit is under way: the loop isn't
// asked again until the commit is over; then the rest is committed and the
// domain given up.
func TestResignDuringCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &heldTable{Table: memtable.New()}
		o := newTestOwner(t, table)
		table.hold = make(chan struct{})
		accept(o, "first")
		o.flush(time.Now())
		accept(o, "second") // while the first is on its way
		resigned := make(chan struct{})
		go func() {
			defer close(resigned)
			o.resign(o.ctx)
		}()
		if turns := runPosted(o); turns > mostTurns {
			close(table.hold)
			t.Fatalf("the loop was asked %d times or more while a commit was under way, want %d at most", turns, mostTurns)
		}
		close(table.hold)
		go o.run()
		<-resigned
		expectResigned(t, table, "first", "second")
	})
}

// runPosted runs what has been posted to an owner's loop until nothing is left,
// or so often that it seems to have no end. It returns how many that were.
func runPosted(o *Owner) int {
	const endless = 100
	for turns := range endless {
		synctest.Wait()
		select {
		case f := <-o.events:
			f()
		default:
			return turns
		}
	}
	return endless
}

// accept takes a job of one task in.
func accept(o *Owner, id string) {
	now := time.Now()
	job := &workload.Job{ID: id, Queue: "q", Steps: []workload.Step{{Tasks: 1, Estimate: time.Second, DisruptionBudget: -1}}}
	o.state.Accept(now, now.UnixMilli(), job, workload.Queue{Name: "q", Pool: "pool", MaxAttempts: 1})
}

// expectResigned fails the test unless the owner's row says that it has
// resigned, and the jobs are durable.
func expectResigned(t *testing.T, table infra.Table, jobs ...string) {
	t.Helper()
	record, _, err := election.Read(context.Background(), table)
	if err != nil || !record.Resigned {
		t.Errorf("owner's row is %+v, %v; want it resigned", record, err)
	}
	for _, id := range jobs {
		rows, err := table.Get(context.Background(), dispatch.JobPrefix+id)
		if err != nil || len(rows) != 1 || rows[0].Version == 0 {
			t.Errorf("job %s isn't durable: %v, %v", id, rows, err)
		}
	}
}

// newTestOwner returns an owner of an empty domain whose loop doesn't run. It
// is ended with the test.
func newTestOwner(t *testing.T, table infra.Table) *Owner {
	t.Helper()
	o := newOwner(context.Background(), Options{
		Host: "a", Table: table, Members: noMembers{}, Log: slog.New(slog.DiscardHandler),
		Metrics: NewMetrics(prometheus.NewRegistry()), Retention: time.Minute, MaxLease: 10 * time.Second,
	}, takeDomain(t, table), Config{Version: 1, Queues: []workload.Queue{{Name: "q", Pool: "pool"}}})
	t.Cleanup(func() {
		o.quit(context.Canceled)
		select {
		case <-o.stopped:
		default:
			o.run() // who waits for its end goes on
		}
	})
	return o
}

// noMembers is a membership list without workers.
type noMembers struct{}

// List implements Members.
func (noMembers) List(context.Context) ([]runner.Worker, error) { return nil, nil }

// heldTable is a table whose commits wait until hold is closed.
type heldTable struct {
	infra.Table
	// hold is nil while nothing is held.
	hold chan struct{}
}

// Commit implements infra.Table.
func (h *heldTable) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if h.hold != nil {
		<-h.hold
	}
	return h.Table.Commit(ctx, tx)
}
