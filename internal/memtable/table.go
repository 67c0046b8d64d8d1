// Package memtable is an in-memory table service with fault injection, for
// tests.
package memtable

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/pause"
)

// Table is an in-memory infra.Table. Set changes its faults.
type Table struct {
	mu      sync.Mutex
	rows    map[string]infra.Row
	version uint64
	held    []infra.Transaction

	// limits are enforced on transactions.
	limits infra.TableLimits
	// The current faults; see Set.
	faults Faults
	stats  Stats
}

// Faults are the injected faults.
type Faults struct {
	// Delay is the duration of each request.
	Delay time.Duration
	// Down makes all requests fail.
	Down bool
	// LoseAnswers is the number of commits that are applied but return an
	// unknown status.
	LoseAnswers int
	// HoldCommits is the number of commits that return an unknown status and
	// are applied only by DeliverHeld.
	HoldCommits int
	// Reject names the keys whose writes are rejected for good; nil for none.
	Reject func(key string) bool
}

// Stats counts requests.
type Stats struct {
	// Commits counts transactions that were applied or conflicted.
	Commits int
	// Refused counts transactions refused because of Down.
	Refused int
	// Rows counts rows written.
	Rows int
	// Reads counts Get and Scan requests.
	Reads int
	// LargestRows is the largest number of rows written by one transaction.
	LargestRows int
	// Rejected counts transactions rejected for good, and Rejection is the reason of the last.
	Rejected  int
	Rejection string
}

// New returns an empty table with the default limits.
func New() *Table { return &Table{rows: map[string]infra.Row{}, limits: infra.DefaultTableLimits()} }

// Limits implements infra.LimitedTable.
func (t *Table) Limits() infra.TableLimits { return t.limits }

// Set changes the faults for later requests.
func (t *Table) Set(f func(*Faults)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.faults)
}

// Stats returns the counts so far.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// DeliverHeld applies the held commits.
func (t *Table) DeliverHeld() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tx := range t.held {
		t.apply(tx)
	}
	t.held = nil
}

// Put writes a row without conditions and returns its version.
func (t *Table) Put(key string, value []byte) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.apply(infra.Transaction{Writes: []infra.Write{{Key: key, Value: value}}}).Version
}

// wait sleeps for Delay. It returns false if ctx ends first.
func (t *Table) wait(ctx context.Context) bool {
	t.mu.Lock()
	delay := t.faults.Delay
	t.mu.Unlock()
	if delay == 0 {
		return ctx.Err() == nil
	}
	return pause.For(ctx, delay)
}

// Commit implements infra.Table.
func (t *Table) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if !t.wait(ctx) {
		return infra.CommitResult{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.faults.Down:
		t.stats.Refused++
		return infra.CommitResult{Status: infra.CommitNotApplied}
	case t.rejection(&tx) != "":
		t.stats.Rejected, t.stats.Rejection = t.stats.Rejected+1, t.rejection(&tx)
		return infra.CommitResult{Status: infra.CommitRejected, Reason: t.stats.Rejection}
	case t.faults.HoldCommits > 0:
		t.faults.HoldCommits--
		t.held = append(t.held, tx)
		return infra.CommitResult{}
	case t.faults.LoseAnswers > 0:
		t.faults.LoseAnswers--
		t.apply(tx)
		return infra.CommitResult{}
	default:
		return t.apply(tx)
	}
}

// rejection returns why a transaction is rejected for good, empty if it isn't. t.mu must be held.
func (t *Table) rejection(tx *infra.Transaction) string {
	if err := t.limits.Check(tx); err != nil {
		return err.Error()
	}
	for i := range tx.Writes {
		if key := tx.Writes[i].Key; t.faults.Reject != nil && t.faults.Reject(key) {
			return "writes of " + key + " are rejected"
		}
	}
	return ""
}

// apply commits a transaction if its conditions hold. t.mu must be held.
func (t *Table) apply(tx infra.Transaction) infra.CommitResult {
	t.stats.Commits++
	t.stats.LargestRows = max(t.stats.LargestRows, len(tx.Writes))
	var conflicts []infra.Row
	for _, c := range tx.Conditions {
		if row := t.row(c.Key); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return infra.CommitResult{Status: infra.CommitConflict, Conflicts: conflicts}
	}
	t.version++
	for _, w := range tx.Writes {
		t.stats.Rows++
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = infra.Row{Key: w.Key, Value: w.Value, Version: t.version}
	}
	return infra.CommitResult{Status: infra.CommitApplied, Version: t.version}
}

// row returns a row, or an absent one with version 0.
func (t *Table) row(key string) infra.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return infra.Row{Key: key}
}

// Get implements infra.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]infra.Row, error) {
	if !t.wait(ctx) {
		return nil, infra.ErrUnavailable
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	if t.faults.Down {
		return nil, infra.ErrUnavailable
	}
	out := make([]infra.Row, 0, len(keys))
	for _, key := range keys {
		out = append(out, t.row(key))
	}
	return out, nil
}

// Scan implements infra.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if !t.wait(ctx) {
		return nil, infra.ErrUnavailable
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	if t.faults.Down {
		return nil, infra.ErrUnavailable
	}
	var out []infra.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b infra.Row) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(limit, len(out))], nil
}
