package election_test

import (
	"context"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
)

// TestRefreshDue refreshes a row that grows old, unless the loop stands still.
func TestRefreshDue(t *testing.T) {
	for _, c := range []struct {
		commit, turn time.Duration
		want         bool
	}{
		{400 * time.Millisecond, 0, false},
		{600 * time.Millisecond, 0, true},
		{600 * time.Millisecond, 8 * time.Second, true},
		{600 * time.Millisecond, 11 * time.Second, false},
	} {
		if got := election.RefreshDue(c.commit, c.turn); got != c.want {
			t.Errorf("commit %v ago, turn %v ago: %v, want %v", c.commit, c.turn, got, c.want)
		}
	}
}

// TestRefresh writes the owner's row alone, gives way to a commit under way,
// and leaves the row of an owner that has resigned as it is.
func TestRefresh(t *testing.T) {
	table := &scripted{Table: memtable.New()}
	c := newOwner(t, table, "a")
	ctx := context.Background()
	refresh := func(want bool) {
		t.Helper()
		before := c.Version()
		done, err := c.Refresh(ctx)
		if err != nil || done != want || (c.Version() != before) != want {
			t.Errorf("refreshed: %v, %v, version %d to %d; want %v", done, err, before, c.Version(), want)
		}
	}
	refresh(true)
	tried := make(chan bool, 1)
	table.script = append(table.script, func(infra.Transaction) (infra.CommitResult, bool) {
		done, _ := c.Refresh(ctx)
		tried <- done
		return infra.CommitResult{}, false
	})
	if err := c.Commit(ctx, write("k", "v")); err != nil {
		t.Fatal(err)
	}
	if <-tried {
		t.Error("refreshed beside a commit under way")
	}
	if err := c.Resign(ctx); err != nil {
		t.Fatal(err)
	}
	refresh(false)
}
