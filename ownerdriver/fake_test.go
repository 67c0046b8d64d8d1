package ownerdriver

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/fireflygate/fireflygate/infra"
)

// fakeTable is an in-memory table that can be made unavailable.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]infra.Row
	version uint64
	down    bool
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]infra.Row{}} }

func (f *fakeTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeTable) Commit(_ context.Context, tx infra.Transaction) infra.CommitResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return infra.CommitResult{Status: infra.CommitNotApplied}
	}
	var conflicts []infra.Row
	for _, c := range tx.Conditions {
		if row := f.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			conflicts = append(conflicts, row)
		}
	}
	if conflicts != nil {
		return infra.CommitResult{Status: infra.CommitConflict, Conflicts: conflicts}
	}
	f.version++
	for _, w := range tx.Writes {
		f.rows[w.Key] = infra.Row{Key: w.Key, Value: w.Value, Version: f.version}
	}
	return infra.CommitResult{Status: infra.CommitApplied, Version: f.version}
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]infra.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, infra.ErrUnavailable
	}
	rows := make([]infra.Row, len(keys))
	for i, key := range keys {
		rows[i] = f.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, infra.ErrUnavailable
	}
	var rows []infra.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b infra.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}
