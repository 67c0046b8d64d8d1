package slo

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/settings"
)

// direct commits to a table.
type direct struct{ table infra.Table }

// Commit implements Committer.
func (d direct) Commit(ctx context.Context, conditions []infra.Condition, writes []infra.Write) infra.CommitResult {
	return d.table.Commit(ctx, infra.Transaction{Conditions: conditions, Writes: writes})
}

// TestCountsOfManyObjectives guards against counts that are never written, since they are more rows
// than the table takes in one transaction.
func TestCountsOfManyObjectives(t *testing.T) {
	const objectives = 250
	table := memtable.New()
	tracker := NewTracker("h", table, direct{table}, nil, slog.New(slog.DiscardHandler), time.Now)
	all := map[string]settings.Objective{}
	for i := range objectives {
		all[fmt.Sprint("o", i)] = settings.Objective{Service: "s"}
	}
	tracker.SetObjectives(all)
	tracker.Observe("s", time.Millisecond, true)
	tracker.Close(t.Context())
	rows, err := table.Scan(t.Context(), "burn/", "", 10*objectives)
	if err != nil || len(rows) != objectives {
		t.Errorf("%d rows of %d objectives are written, error %v", len(rows), objectives, err)
	}
	if n := table.Stats().Rejected; n > 0 {
		t.Errorf("%d transactions were rejected", n)
	}
}
