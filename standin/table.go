package standin

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/fireflygate/fireflygate/infra"
)

// Table is a stand-in for the table service. It implements infra.Table.
type Table struct {
	*injector
	mu      sync.Mutex
	rows    map[string]infra.Row
	keys    []string
	commits uint64
	// limits are enforced on transactions.
	limits infra.TableLimits
}

var _ infra.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{injector: newInjector(), rows: map[string]infra.Row{}, limits: infra.DefaultTableLimits()}
}

// Commit applies a transaction if all its conditions hold.
func (t *Table) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	var result infra.CommitResult
	switch t.run(ctx, func() { result = t.commit(tx) }) {
	case processed:
		return result
	case refused:
		return infra.CommitResult{Status: infra.CommitNotApplied}
	default:
		return infra.CommitResult{Status: infra.CommitUnknown}
	}
}

// Get returns the rows of keys, in that order, as of one version.
func (t *Table) Get(ctx context.Context, keys ...string) ([]infra.Row, error) {
	var rows []infra.Row
	if t.run(ctx, func() { rows = t.get(keys) }) != processed {
		return nil, infra.ErrUnavailable
	}
	return rows, nil
}

// Scan returns up to limit rows, in key order, whose keys have the prefix and sort
// after the key after.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	var rows []infra.Row
	if t.run(ctx, func() { rows = t.scan(prefix, after, limit) }) != processed {
		return nil, infra.ErrUnavailable
	}
	return rows, nil
}

// Commits returns the number of applied transactions.
func (t *Table) Commits() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

func (t *Table) commit(tx infra.Transaction) infra.CommitResult {
	if err := t.limits.Check(&tx); err != nil {
		return infra.CommitResult{Status: infra.CommitRejected, Reason: err.Error()}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflicts []infra.Row
	for _, c := range tx.Conditions {
		if row := t.row(c.Key); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return infra.CommitResult{Status: infra.CommitConflict, Conflicts: conflicts}
	}
	t.commits++
	for _, w := range tx.Writes {
		t.write(w)
	}
	return infra.CommitResult{Status: infra.CommitApplied, Version: t.commits}
}

// write stores or deletes one row, at version t.commits.
func (t *Table) write(w infra.Write) {
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
	t.rows[w.Key] = infra.Row{Key: w.Key, Value: value, Version: t.commits}
}

// row returns a row; its version is 0 if it doesn't exist.
func (t *Table) row(key string) infra.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return infra.Row{Key: key}
}

func (t *Table) get(keys []string) []infra.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]infra.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.row(key))
	}
	return rows
}

func (t *Table) scan(prefix, after string, limit int) []infra.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []infra.Row
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
