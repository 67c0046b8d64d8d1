package standin

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/fireflygate/fireflygate/platform"
)

// Table is a stand-in for the table service. It implements platform.Table.
type Table struct {
	*injector
	mu      sync.Mutex
	rows    map[string]platform.Row
	keys    []string
	commits uint64
}

var _ platform.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{injector: newInjector(), rows: map[string]platform.Row{}}
}

// Commit applies a transaction.
func (t *Table) Commit(ctx context.Context, tx platform.Transaction) platform.CommitResult {
	var result platform.CommitResult
	switch t.run(ctx, func() { result = t.commit(tx) }) {
	case processed:
		return result
	case refused:
		return platform.CommitResult{Status: platform.CommitNotApplied}
	default:
		return platform.CommitResult{Status: platform.CommitUnknown}
	}
}

// Get reads rows at one version.
func (t *Table) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	var rows []platform.Row
	if t.run(ctx, func() { rows = t.get(keys) }) != processed {
		return nil, platform.ErrUnavailable
	}
	return rows, nil
}

// Scan reads rows in key order.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var rows []platform.Row
	if t.run(ctx, func() { rows = t.scan(prefix, after, limit) }) != processed {
		return nil, platform.ErrUnavailable
	}
	return rows, nil
}

// Commits returns how many transactions were applied.
func (t *Table) Commits() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

func (t *Table) commit(tx platform.Transaction) platform.CommitResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflicts []platform.Row
	for _, c := range tx.Conditions {
		if row := t.row(c.Key); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return platform.CommitResult{Status: platform.CommitConflict, Conflicts: conflicts}
	}
	t.commits++
	for _, w := range tx.Writes {
		t.write(w)
	}
	return platform.CommitResult{Status: platform.CommitApplied, Version: t.commits}
}

// write puts or deletes one row at the version t.commits.
func (t *Table) write(w platform.Write) {
	at := sort.SearchStrings(t.keys, w.Key)
	_, exists := t.rows[w.Key]
	if w.Delete {
		if exists {
			delete(t.rows, w.Key)
			t.keys = append(t.keys[:at], t.keys[at+1:]...)
		}
		return
	}
	if !exists {
		t.keys = append(t.keys, "")
		copy(t.keys[at+1:], t.keys[at:])
		t.keys[at] = w.Key
	}
	value := append([]byte(nil), w.Value...)
	t.rows[w.Key] = platform.Row{Key: w.Key, Value: value, Version: t.commits}
}

// row returns a row, with version 0 if it is absent.
func (t *Table) row(key string) platform.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return platform.Row{Key: key}
}

func (t *Table) get(keys []string) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.row(key))
	}
	return rows
}

func (t *Table) scan(prefix, after string, limit int) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	at := sort.SearchStrings(t.keys, max(prefix, after))
	for ; at < len(t.keys) && len(rows) < limit; at++ {
		key := t.keys[at]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key != after || after == "" {
			rows = append(rows, t.rows[key])
		}
	}
	return rows
}
