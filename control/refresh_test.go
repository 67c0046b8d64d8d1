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

// awaitRefreshes waits until the owner has committed its row several times.
func (c *cluster) awaitRefreshes() {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	var first election.Record
	for {
		r, _, err := election.Read(ctx, c.table)
		if err != nil {
			c.t.Fatalf("can't read the owner's row: %v", err)
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

// blockingScanTable is a table whose scans block until release is closed.
type blockingScanTable struct {
	infra.Table
	release chan struct{}
}

// Scan implements infra.Table.
func (u *blockingScanTable) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	select {
	case <-u.release:
		return u.Table.Scan(ctx, prefix, after, limit)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestOwnerRowRefreshedDuringLoad checks that an owner that takes long to load
// the state keeps committing its row and serves requests that arrive meanwhile.
func TestOwnerRowRefreshedDuringLoad(t *testing.T) {
	c := newCluster(t, 0, 1)
	table := &blockingScanTable{Table: c.table, release: make(chan struct{})}
	h := c.start("host", table)
	c.leader(h)
	accepted := make(chan control.Outcome, 1)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	go func() { accepted <- h.node.Submit(ctx, job("job", 1), testQueue) }()
	c.awaitRefreshes()
	close(table.release)
	if out := <-accepted; out.Result != control.ResultDone {
		t.Errorf("job submitted during the load: %v, want done", out.Result)
	}
	<-c.fleet.started
}

// blockingLog is a log handler that blocks on the record of the domain's state,
// and thereby blocks the owner's loop.
type blockingLog struct {
	slog.Handler
	blocked chan struct{}
	release chan struct{}
}

// Enabled implements slog.Handler.
func (blockingLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l blockingLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message == event.DomainState.Message {
		select {
		case l.blocked <- struct{}{}:
		default: // already blocked
		}
		<-l.release
	}
	return nil
}

// TestOwnerRowRefreshedDuringLongCycle checks that the owner's row is refreshed
// while a cycle of the loop takes long.
func TestOwnerRowRefreshedDuringLongCycle(t *testing.T) {
	log := blockingLog{Handler: slog.DiscardHandler, blocked: make(chan struct{}, 1), release: make(chan struct{})}
	c := newLoggingCluster(t, 1, 1, slog.New(log))
	<-log.blocked
	c.awaitRefreshes()
	close(log.release)
	c.submit(c.hosts[0], job("job", 1))
	<-c.fleet.started
}
