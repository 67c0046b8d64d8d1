package election_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/internal/pause"
)

// serialTable is a table that executes one transaction at a time, each for a while, and
// also those whose caller has gone.
type serialTable struct {
	infra.Table
	// busy holds a token while a transaction is executed.
	busy     chan struct{}
	duration time.Duration
	executed int
}

// Commit implements infra.Table.
func (s *serialTable) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	done := make(chan infra.CommitResult, 1)
	go func() {
		s.busy <- struct{}{}
		defer func() { <-s.busy }()
		s.executed++
		<-time.After(s.duration)
		done <- s.Table.Commit(context.WithoutCancel(ctx), tx)
	}()
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		return infra.CommitResult{Status: infra.CommitUnknown}
	}
}

// TestRepeatsDontSlowASlowTable guards against attempts that keep a slow table busy: each
// commit then waits for the needless attempts of the one before, and callers' submissions
// pass their time limits.
func TestRepeatsDontSlowASlowTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &serialTable{Table: memtable.New(), busy: make(chan struct{}, 1)}
		c := newOwner(t, table, "a")
		table.duration, table.executed = 900*time.Millisecond, 0
		start := time.Now()
		const commits = 5
		for range commits {
			if err := c.Commit(t.Context(), write("k", "v")); err != nil {
				t.Fatal(err)
			}
		}
		// The first commit can't know that the table has become slow.
		if most := (commits + 1) * table.duration; time.Since(start) > most || table.executed > commits+1 {
			t.Errorf("%d commits took %v and %d attempts, want at most %v and %d", commits, time.Since(start), table.executed, most, commits+1)
		}
	})
}

// TestOutageDoesntSlowNextOne guards against a second outage that is noticed late because
// the commit before it lasted through the first one.
func TestOutageDoesntSlowNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &silentTable{Table: memtable.New()}
		c := newOwner(t, table, "a")
		for _, silence := range []time.Duration{4 * time.Second, time.Second} {
			start := time.Now()
			table.silentUntil = start.Add(silence)
			if err := c.Commit(t.Context(), write("k", "v")); err != nil {
				t.Fatal(err)
			}
			if late := time.Since(start) - silence; late > 700*time.Millisecond {
				t.Errorf("after %v of silence the commit was applied %v late, want at most 0.7 s", silence, late)
			}
		}
	})
}

// recoveringTable is a slowTable that loses commits until it recovers.
type recoveringTable struct {
	slowTable
	recovered atomic.Bool
}

// Commit implements infra.Table.
func (r *recoveringTable) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if !r.recovered.Load() {
		<-ctx.Done()
		return infra.CommitResult{Status: infra.CommitUnknown}
	}
	return r.slowTable.Commit(ctx, tx)
}

// TestLostAttemptIsRepeatedAfterRecovery guards against an owner whose commit is lost as a
// slow table service recovers, and is repeated only after the time of a slow commit.
func TestLostAttemptIsRepeatedAfterRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow, fast, maxDelay = 800 * time.Millisecond, 4 * time.Millisecond, 1300 * time.Millisecond
		table := &recoveringTable{}
		var delay atomic.Int64
		delay.Store(int64(slow))
		table.slowTable = slowTable{Table: memtable.New(), delay: func() time.Duration { return time.Duration(delay.Load()) }}
		table.recovered.Store(true)
		c := newOwner(t, table, "a")
		for range 2 { // so that the pace is known
			if err := c.Commit(t.Context(), write("k", "v")); err != nil {
				t.Fatal(err)
			}
		}
		table.recovered.Store(false)
		recovery := time.AfterFunc(slow, func() {
			delay.Store(int64(fast))
			table.recovered.Store(true)
		})
		defer recovery.Stop()
		begun := time.Now()
		if err := c.Commit(t.Context(), write("k", "w")); err != nil {
			t.Fatal(err)
		}
		if late := time.Since(begun) - slow; late > maxDelay {
			t.Errorf("the commit was applied %v after the table service had recovered, want at most %v", late, maxDelay)
		}
		pause.For(t.Context(), time.Minute) // until all attempts have ended
	})
}
