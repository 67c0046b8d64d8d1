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

// scripted is a table whose commits are first decided by a script.
type scripted struct {
	infra.Table
	script []func(infra.Transaction) (infra.CommitResult, bool)
}

// Commit implements infra.Table.
func (s *scripted) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if len(s.script) > 0 {
		f := s.script[0]
		s.script = s.script[1:]
		if res, ok := f(tx); ok {
			return res
		}
	}
	return s.Table.Commit(ctx, tx)
}

// The ways in which a commit may go.
func (s *scripted) lost(infra.Transaction) (infra.CommitResult, bool) {
	return infra.CommitResult{Status: infra.CommitUnknown}, true
}

func (s *scripted) lostAnswer(tx infra.Transaction) (infra.CommitResult, bool) {
	s.Table.Commit(context.Background(), tx)
	return infra.CommitResult{Status: infra.CommitUnknown}, true
}

func (s *scripted) refused(infra.Transaction) (infra.CommitResult, bool) {
	return infra.CommitResult{Status: infra.CommitNotApplied}, true
}

// newOwner takes an empty domain.
func newOwner(t *testing.T, table infra.Table, host string) *election.Committer {
	t.Helper()
	seen, version, err := election.Read(context.Background(), table)
	if err != nil {
		t.Fatal(err)
	}
	c, err := election.Acquire(context.Background(), table, election.Record{Host: host, Incarnation: host}, seen, version)
	if err != nil {
		t.Fatal(err)
	}
	c.Sleep = func(context.Context, time.Duration) {}
	return c
}

// value reads a row.
func value(t *testing.T, table infra.Table, key string) string {
	t.Helper()
	rows, err := table.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	return string(rows[0].Value)
}

// write is one write of a test.
func write(key, v string) []infra.Write { return []infra.Write{{Key: key, Value: []byte(v)}} }

// TestCommitSettlesLostAnswers applies each commit exactly once, whether the
// first try was applied without an answer, lost or refused.
func TestCommitSettlesLostAnswers(t *testing.T) {
	for name, way := range map[string]func(*scripted) func(infra.Transaction) (infra.CommitResult, bool){
		"applied, answer lost": func(s *scripted) func(infra.Transaction) (infra.CommitResult, bool) { return s.lostAnswer },
		"lost":                 func(s *scripted) func(infra.Transaction) (infra.CommitResult, bool) { return s.lost },
		"refused":              func(s *scripted) func(infra.Transaction) (infra.CommitResult, bool) { return s.refused },
	} {
		t.Run(name, func(t *testing.T) {
			table := &scripted{Table: memtable.New()}
			c := newOwner(t, table, "a")
			table.script = append(table.script, way(table), way(table))
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

// TestLateCommitChangesNothing applies a lost transaction long after newer
// ones of the same owner.
func TestLateCommitChangesNothing(t *testing.T) {
	table := &scripted{Table: memtable.New()}
	c := newOwner(t, table, "a")
	var late infra.Transaction
	table.script = append(table.script, func(tx infra.Transaction) (infra.CommitResult, bool) {
		late = tx
		return infra.CommitResult{Status: infra.CommitUnknown}, true
	})
	if err := c.Commit(context.Background(), write("k", "old")); err != nil {
		t.Fatal(err)
	}
	if err := c.Commit(context.Background(), write("k", "new")); err != nil {
		t.Fatal(err)
	}
	if res := table.Table.Commit(context.Background(), late); res.Status != infra.CommitConflict {
		t.Errorf("late transaction: %v, want a conflict", res.Status)
	}
	if got := value(t, table, "k"); got != "new" {
		t.Errorf("row holds %q, want the newer value", got)
	}
}

// TestDeposedOwnerWritesNothing fences an owner once another has taken over.
func TestDeposedOwnerWritesNothing(t *testing.T) {
	table := memtable.New()
	a := newOwner(t, table, "a")
	b := newOwner(t, table, "b")
	if a.Record().Epoch >= b.Record().Epoch {
		t.Fatalf("epochs %d and %d don't rise", a.Record().Epoch, b.Record().Epoch)
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

// TestOnlyOneTakes lets two hosts that saw the same row race for it.
func TestOnlyOneTakes(t *testing.T) {
	table := memtable.New()
	ctx := context.Background()
	seen, version, err := election.Read(ctx, table)
	if err != nil {
		t.Fatal(err)
	}
	taken := 0
	for _, host := range []string{"a", "b"} {
		_, err := election.Acquire(ctx, table, election.Record{Host: host, Incarnation: host}, seen, version)
		switch {
		case err == nil:
			taken++
		case !errors.Is(err, election.ErrDeposed):
			t.Errorf("%s: %v, want ErrDeposed", host, err)
		}
	}
	if taken != 1 {
		t.Errorf("%d hosts own the domain, want 1", taken)
	}
}

// TestResignedRow lets a successor know that it need not wait.
func TestResignedRow(t *testing.T) {
	table := memtable.New()
	a := newOwner(t, table, "a")
	if err := a.Resign(context.Background()); err != nil {
		t.Fatal(err)
	}
	r, _, err := election.Read(context.Background(), table)
	if err != nil || !r.Resigned {
		t.Errorf("row is %+v, %v; want it resigned", r, err)
	}
}

// TestCommitPausesAfterFailingAtOnce pauses before a try is repeated that
// failed at once, as with a store that refuses connections.
func TestCommitPausesAfterFailingAtOnce(t *testing.T) {
	table := &scripted{Table: memtable.New()}
	c := newOwner(t, table, "a")
	pauses := 0
	c.Sleep = func(context.Context, time.Duration) { pauses++ }
	table.script = append(table.script, table.lost, table.lost)
	if err := c.Commit(context.Background(), write("k", "v")); err != nil {
		t.Fatal(err)
	}
	if pauses != 2 {
		t.Errorf("paused %d times, want once after each of 2 failures", pauses)
	}
}
