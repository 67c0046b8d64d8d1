package control_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/control"
	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/pause"
)

// awaitRefreshes waits until the owner has committed its row a few times more.
func (c *cluster) awaitRefreshes() {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var first election.Record
	for {
		r, _, err := election.Read(ctx, c.table)
		if err != nil {
			c.t.Fatalf("the row isn't committed: %v", err)
		}
		if first.Host == "" {
			first = r
		}
		if r.SameOwnership(&first) && r.Seq > first.Seq+2 {
			return
		}
		pause.For(ctx, time.Millisecond)
	}
}

// unscanned is a table whose scans wait until they are released.
type unscanned struct {
	infra.Table
	release chan struct{}
}

// Scan implements infra.Table.
func (u *unscanned) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	select {
	case <-u.release:
		return u.Table.Scan(ctx, prefix, after, limit)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestRowIsKeptWhileStateIsRead has a new owner take long to read the state:
// it goes on committing its row, so that nobody replaces it, and serves what
// came meanwhile.
func TestRowIsKeptWhileStateIsRead(t *testing.T) {
	c := newCluster(t, 0, 1)
	table := &unscanned{Table: c.table, release: make(chan struct{})}
	h := c.start("host", table)
	c.leader(h)
	accepted := make(chan control.Outcome, 1)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go func() { accepted <- h.node.Submit(ctx, job("job", 1), testQueue) }()
	c.awaitRefreshes()
	close(table.release)
	if out := <-accepted; out.Result != control.ResultDone {
		t.Errorf("the job handed in meanwhile: %v, want done", out.Result)
	}
	<-c.fleet.started
}

// holdingLog is a log handler that holds the line on the domain's state up, and
// so the owner's loop in the midst of a cycle.
type holdingLog struct {
	slog.Handler
	held    chan struct{}
	release chan struct{}
}

// Enabled implements slog.Handler.
func (holdingLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l holdingLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message == event.DomainState.Message {
		select {
		case l.held <- struct{}{}:
		default: // another line is held already
		}
		<-l.release
	}
	return nil
}

// TestRowIsKeptInALongCycle has a cycle of the owner's loop take long.
func TestRowIsKeptInALongCycle(t *testing.T) {
	log := holdingLog{Handler: slog.DiscardHandler, held: make(chan struct{}, 1), release: make(chan struct{})}
	c := newLoggingCluster(t, 1, 1, slog.New(log))
	<-log.held
	c.awaitRefreshes()
	close(log.release)
	c.submit(c.hosts[0], job("job", 1))
	<-c.fleet.started
}
