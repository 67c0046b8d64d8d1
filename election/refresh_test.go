package election_test

import (
	"context"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
)

// TestRefreshDue checks that an aging row is refreshed in a long cycle of the loop, unless
// the loop is stuck, and not between the commits of a loop that cycles.
func TestRefreshDue(t *testing.T) {
	for _, c := range []struct {
		commitAge, cycleAge, progressAge time.Duration
		want                             bool
	}{
		{400 * time.Millisecond, 0, 0, false},
		{600 * time.Millisecond, 0, 0, false}, // a slow table service; the loop commits next
		{600 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond, true},
		{600 * time.Millisecond, 8 * time.Second, 8 * time.Second, true},
		{600 * time.Millisecond, 11 * time.Second, 11 * time.Second, false},
		{600 * time.Millisecond, time.Minute, 0, true}, // the load of a large domain
		{600 * time.Millisecond, time.Minute, 11 * time.Second, false},
	} {
		if got := election.RefreshDue(c.commitAge, c.cycleAge, c.progressAge); got != c.want {
			t.Errorf("last commit %v ago, last cycle %v ago, last progress %v ago: %v, want %v", c.commitAge, c.cycleAge, c.progressAge, got, c.want)
		}
	}
}

// TestRefresh checks that a refresh commits only the owner's row, and is
// skipped during another commit and after a resignation.
func TestRefresh(t *testing.T) {
	table := &scriptedTable{Table: memtable.New()}
	c := newOwner(t, table, "a")
	ctx := context.Background()
	refresh := func(want bool) {
		t.Helper()
		before := c.Version()
		refreshed, err := c.Refresh(ctx)
		if err != nil || refreshed != want || (c.Version() != before) != want {
			t.Errorf("refreshed: %v, error %v, version %d to %d; want %v", refreshed, err, before, c.Version(), want)
		}
	}
	refresh(true)
	tried := make(chan bool, 1)
	table.script = append(table.script, func(infra.Transaction) (infra.CommitResult, bool) {
		refreshed, _ := c.Refresh(ctx)
		tried <- refreshed
		return infra.CommitResult{}, false
	})
	if err := c.Commit(ctx, write("k", "v")); err != nil {
		t.Fatal(err)
	}
	if <-tried {
		t.Error("refreshed while another commit was in flight")
	}
	if err := c.Resign(ctx); err != nil {
		t.Fatal(err)
	}
	refresh(false)
}
