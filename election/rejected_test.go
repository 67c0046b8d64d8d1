package election_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
)

// tooLarge is a write that the table service never takes.
var tooLarge = []infra.Write{{Key: "large", Value: make([]byte, 70_000)}}

// TestRejectedCommitIsNotRepeated guards against an owner that repeats writes for seconds which
// the table service will never apply. Later commits go on.
func TestRejectedCommitIsNotRepeated(t *testing.T) {
	table := memtable.New()
	c := newOwner(t, table, "a")
	if err := c.Commit(t.Context(), tooLarge); !errors.Is(err, election.ErrRejected) {
		t.Errorf("error %v, want ErrRejected", err)
	}
	if n := c.Effort().Attempts; n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
	if err := c.Commit(t.Context(), write("row", "v")); err != nil || value(t, table, "row") != "v" {
		t.Errorf("the next commit: %v", err)
	}
	if err := c.CommitRosterEpochs(t.Context(), tooLarge); !errors.Is(err, election.ErrRejected) || c.Record().RosterEpochs {
		t.Errorf("error %v, the row says that the roster tells the epochs: %v", err, c.Record().RosterEpochs)
	}
}

// TestRejectionAfterAppliedAttempt guards against a change that counts as never written while an
// attempt whose answer was lost has written it.
func TestRejectionAfterAppliedAttempt(t *testing.T) {
	for name, first := range map[string]func(*scriptedTable) func(infra.Transaction) (infra.CommitResult, bool){
		"applied": func(s *scriptedTable) func(infra.Transaction) (infra.CommitResult, bool) { return s.dropAnswer },
		"lost":    func(s *scriptedTable) func(infra.Transaction) (infra.CommitResult, bool) { return s.dropRequest },
	} {
		table := &scriptedTable{Table: memtable.New()}
		c := newOwner(t, table, "a")
		table.script = []func(infra.Transaction) (infra.CommitResult, bool){first(table), reject}
		err := c.Commit(context.Background(), write("row", "v"))
		if applied := value(t, table, "row") == "v"; applied != (err == nil) || applied != (name == "applied") {
			t.Errorf("%s: error %v, applied: %v", name, err, applied)
		}
		if err := c.Commit(t.Context(), write("next", "v")); err != nil {
			t.Errorf("%s: the next commit: %v", name, err)
		}
	}
}

// reject is a scripted result of a commit.
func reject(infra.Transaction) (infra.CommitResult, bool) {
	return infra.CommitResult{Status: infra.CommitRejected, Reason: "too large"}, true
}

// TestOwnerRowFitsWithLongNames guards against an owner's row that outgrows a row where hosts
// have long names and many owners have followed each other.
func TestOwnerRowFitsWithLongNames(t *testing.T) {
	table := memtable.New()
	for i := range 40 {
		host := fmt.Sprint(i, strings.Repeat("h", 3000))
		newOwner(t, table, host)
	}
	r, _, err := election.Read(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	if n := len(r.Earlier); n < 5 || r.Earlier[0].Epoch != 1 {
		t.Errorf("%d earlier owners are listed, the first of epoch %d; want 5 or more from epoch 1 on", n, r.Earlier[0].Epoch)
	}
}
