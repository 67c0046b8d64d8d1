package election_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
)

// scriptedTable is a table whose first commits get their results from a script.
type scriptedTable struct {
	infra.Table
	script []func(infra.Transaction) (infra.CommitResult, bool)
}

// Commit implements infra.Table.
func (s *scriptedTable) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if len(s.script) > 0 {
		f := s.script[0]
		s.script = s.script[1:]
		if res, ok := f(tx); ok {
			return res
		}
	}
	return s.Table.Commit(ctx, tx)
}

// Scripted results of a commit.
func (s *scriptedTable) dropRequest(infra.Transaction) (infra.CommitResult, bool) {
	return infra.CommitResult{Status: infra.CommitUnknown}, true
}

func (s *scriptedTable) dropAnswer(tx infra.Transaction) (infra.CommitResult, bool) {
	s.Table.Commit(context.Background(), tx)
	return infra.CommitResult{Status: infra.CommitUnknown}, true
}

func (s *scriptedTable) refuse(infra.Transaction) (infra.CommitResult, bool) {
	return infra.CommitResult{Status: infra.CommitNotApplied}, true
}

// newOwner makes host the next owner of the domain.
func newOwner(t *testing.T, table infra.Table, host string) *election.Committer {
	t.Helper()
	previous, version, err := election.Read(context.Background(), table)
	if err != nil {
		t.Fatal(err)
	}
	c, err := election.Acquire(context.Background(), table, election.Record{Host: host, Incarnation: host}, election.Replaced{Record: previous, Version: version}, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Sleep = func(context.Context, time.Duration) {}
	return c
}

// value returns the value of a row.
func value(t *testing.T, table infra.Table, key string) string {
	t.Helper()
	rows, err := table.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	return string(rows[0].Value)
}

// write returns a single write.
func write(key, v string) []infra.Write { return []infra.Write{{Key: key, Value: []byte(v)}} }

// TestCommitAppliesOnce checks that retries apply a commit exactly once if
// earlier attempts were applied without an answer, lost or rejected.
func TestCommitAppliesOnce(t *testing.T) {
	for name, outcome := range map[string]func(*scriptedTable) func(infra.Transaction) (infra.CommitResult, bool){
		"applied, answer lost": func(s *scriptedTable) func(infra.Transaction) (infra.CommitResult, bool) { return s.dropAnswer },
		"request lost":         func(s *scriptedTable) func(infra.Transaction) (infra.CommitResult, bool) { return s.dropRequest },
		"refused":              func(s *scriptedTable) func(infra.Transaction) (infra.CommitResult, bool) { return s.refuse },
	} {
		t.Run(name, func(t *testing.T) {
			table := &scriptedTable{Table: memtable.New()}
			c := newOwner(t, table, "a")
			table.script = append(table.script, outcome(table), outcome(table))
			for i, v := range []string{"one", "two"} {
				if err := c.Commit(context.Background(), write("k", v)); err != nil {
					t.Fatalf("commit %d: %v", i, err)
				}
				if got := value(t, table, "k"); got != v {
					t.Fatalf("row holds %q, want %q", got, v)
				}
			}
		})
	}
}

// TestDelayedCommitIsRejected checks that a delayed transaction can't overwrite
// a newer one of the same owner.
func TestDelayedCommitIsRejected(t *testing.T) {
	table := &scriptedTable{Table: memtable.New()}
	c := newOwner(t, table, "a")
	var delayed infra.Transaction
	table.script = append(table.script, func(tx infra.Transaction) (infra.CommitResult, bool) {
		delayed = tx
		return infra.CommitResult{Status: infra.CommitUnknown}, true
	})
	if err := c.Commit(context.Background(), write("k", "old")); err != nil {
		t.Fatal(err)
	}
	if err := c.Commit(context.Background(), write("k", "new")); err != nil {
		t.Fatal(err)
	}
	if res := table.Table.Commit(context.Background(), delayed); res.Status != infra.CommitConflict {
		t.Errorf("delayed transaction: %v, want a conflict", res.Status)
	}
	if got := value(t, table, "k"); got != "new" {
		t.Errorf("row holds %q, want the newer value", got)
	}
}

// TestDeposedOwnerCannotCommit checks that an owner is fenced once another host
// has taken over.
func TestDeposedOwnerCannotCommit(t *testing.T) {
	table := memtable.New()
	a := newOwner(t, table, "a")
	b := newOwner(t, table, "b")
	if a.Record().Epoch >= b.Record().Epoch {
		t.Fatalf("epochs %d and %d don't increase", a.Record().Epoch, b.Record().Epoch)
	}
	if err := a.Commit(context.Background(), write("k", "a")); !errors.Is(err, election.ErrDeposed) {
		t.Fatalf("got %v, want ErrDeposed", err)
	}
	if err := b.Commit(context.Background(), write("k", "b")); err != nil {
		t.Fatal(err)
	}
	if got := value(t, table, "k"); got != "b" {
		t.Errorf("row holds %q, want the new owner's value", got)
	}
}

// TestConcurrentAcquire checks that only one of two hosts that read the same
// row acquires the domain.
func TestConcurrentAcquire(t *testing.T) {
	table := memtable.New()
	ctx := context.Background()
	previous, version, err := election.Read(ctx, table)
	if err != nil {
		t.Fatal(err)
	}
	acquired := 0
	for _, host := range []string{"a", "b"} {
		_, err := election.Acquire(ctx, table, election.Record{Host: host, Incarnation: host}, election.Replaced{Record: previous, Version: version}, nil)
		switch {
		case err == nil:
			acquired++
		case !errors.Is(err, election.ErrDeposed):
			t.Errorf("%s: %v, want ErrDeposed", host, err)
		}
	}
	if acquired != 1 {
		t.Errorf("%d hosts acquired the domain, want 1", acquired)
	}
}

// TestResignMarksRow checks that a resignation is recorded in the owner's row.
func TestResignMarksRow(t *testing.T) {
	table := memtable.New()
	a := newOwner(t, table, "a")
	if err := a.Resign(context.Background()); err != nil {
		t.Fatal(err)
	}
	r, _, err := election.Read(context.Background(), table)
	if err != nil || !r.Resigned {
		t.Errorf("owner row is %+v, error %v; want it marked as resigned", r, err)
	}
}

// TestCommitDelaysRetryAfterFastFailure guards against a busy loop on a table
// service that fails immediately, for example by refusing connections.
func TestCommitDelaysRetryAfterFastFailure(t *testing.T) {
	table := &scriptedTable{Table: memtable.New()}
	c := newOwner(t, table, "a")
	sleeps := 0
	c.Sleep = func(context.Context, time.Duration) { sleeps++ }
	table.script = append(table.script, table.dropRequest, table.dropRequest)
	if err := c.Commit(context.Background(), write("k", "v")); err != nil {
		t.Fatal(err)
	}
	if sleeps != 2 {
		t.Errorf("%d delays, want one after each of 2 failures", sleeps)
	}
}
