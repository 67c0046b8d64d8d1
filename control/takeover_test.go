package control

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/workload"
)

// TestStopDuringTakeOver stops a host whose take-over is on its way to the
// store: it gives the domain up as soon as it owns it. Otherwise it would lead
// until its process ends, and the others would learn of that by its silence.
func TestStopDuringTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New()
		n := newTestNode(table)
		taken := takeDomain(t, table)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		n.Resign(ctx) // knows of no owner here
		n.lead(ctx, taken, election.Record{})
		expectResigned(t, table)
	})
}

// TestStopWhileStateIsRead stops a host that has taken the domain and then
// can't read its state: the stop ends, though that owner's loop never ran.
func TestStopWhileStateIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &unreadableTable{Table: memtable.New(), fail: make(chan struct{})}
		n := newTestNode(table)
		taken := takeDomain(t, table)
		go n.lead(t.Context(), taken, election.Record{})
		synctest.Wait() // the state is being read
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			n.Resign(t.Context())
		}()
		synctest.Wait()
		close(table.fail)
		synctest.Wait()
		select {
		case <-stopped:
		default:
			t.Error("the stop waits for an owner that never began")
		}
	})
}

// newTestNode returns a node that doesn't run, with a configuration.
func newTestNode(table infra.Table) *Node {
	n := NewNode(Options{
		Host: "a", Incarnation: "a", Table: table, Members: noMembers{}, Log: slog.New(slog.DiscardHandler),
		Metrics: NewMetrics(prometheus.NewRegistry()), Retention: time.Minute, MaxLease: 10 * time.Second,
	})
	n.SetConfig(Config{Version: 1, Queues: []workload.Queue{{Name: "q", Pool: "pool"}}})
	return n
}

// takeDomain takes an empty domain for host a.
func takeDomain(t *testing.T, table infra.Table) *election.Committer {
	t.Helper()
	seen, version, err := election.Read(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	c, err := election.Acquire(t.Context(), table, election.Record{Host: "a", Incarnation: "a"}, seen, version)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// unreadableTable is a table whose scans fail once fail is closed.
type unreadableTable struct {
	infra.Table
	fail chan struct{}
}

// Scan implements infra.Table.
func (u *unreadableTable) Scan(ctx context.Context, _, _ string, _ int) ([]infra.Row, error) {
	select {
	case <-u.fail:
	case <-ctx.Done():
	}
	return nil, errors.New("table can't be read")
}
