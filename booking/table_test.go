package booking

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/fireflygate/fireflygate/infra"
)

// fault is a fault injected into one commit.
type fault int

const (
	noFault    fault = iota
	loseAnswer       // the commit is applied, its answer is lost
	loseCommit       // neither applied nor answered
	delay            // not answered, applied by applyDelayed
	refuse           // refused with CommitNotApplied
)

// table is an in-memory table service with fault injection.
type table struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]infra.Row
	// faults are applied to the next commits, in order.
	faults []fault
	down   bool
	// rejectDeletes makes the table refuse deletions.
	rejectDeletes bool
	// deleteTwice makes each deletion come second: another host's has been applied just
	// before it.
	deleteTwice bool
	delayed     []func()
}

func newTable(faults ...fault) *table {
	return &table{rows: map[string]infra.Row{}, faults: faults}
}

func (t *table) Commit(_ context.Context, conditions []infra.Condition, writes []infra.Write) infra.CommitResult {
	if err := infra.DefaultTableLimits().Check(&infra.Transaction{Conditions: conditions, Writes: writes}); err != nil {
		return infra.CommitResult{Status: infra.CommitRejected, Reason: err.Error()}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := noFault
	if len(t.faults) > 0 {
		f, t.faults = t.faults[0], t.faults[1:]
	}
	if t.down || (t.rejectDeletes && writes[0].Delete) {
		f = refuse
	}
	if t.deleteTwice && writes[0].Delete {
		t.apply(conditions, writes)
	}
	switch f {
	case refuse:
		return infra.CommitResult{Status: infra.CommitNotApplied}
	case loseCommit:
		return infra.CommitResult{}
	case delay:
		t.delayed = append(t.delayed, func() { t.apply(conditions, writes) })
		return infra.CommitResult{}
	case loseAnswer:
		t.apply(conditions, writes)
		return infra.CommitResult{}
	default:
		return t.apply(conditions, writes)
	}
}

// setRejectDeletes sets whether the table refuses deletions.
func (t *table) setRejectDeletes(rejectDeletes bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejectDeletes = rejectDeletes
}

// setDeleteTwice sets whether each deletion comes second.
func (t *table) setDeleteTwice(deleteTwice bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deleteTwice = deleteTwice
}

// applyDelayed applies the delayed commits.
func (t *table) applyDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, apply := range t.delayed {
		apply()
	}
	t.delayed = nil
}

func (t *table) apply(conditions []infra.Condition, writes []infra.Write) infra.CommitResult {
	for _, c := range conditions {
		if r := t.rows[c.Key]; r.Version != c.Version {
			r.Key = c.Key
			return infra.CommitResult{Status: infra.CommitConflict, Conflicts: []infra.Row{r}}
		}
	}
	t.version++
	for _, w := range writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = infra.Row{Key: w.Key, Value: w.Value, Version: t.version}
	}
	return infra.CommitResult{Status: infra.CommitApplied, Version: t.version}
}

func (t *table) Get(_ context.Context, keys ...string) ([]infra.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, infra.ErrUnavailable
	}
	var rows []infra.Row
	for _, k := range keys {
		r := t.rows[k]
		r.Key = k
		rows = append(rows, r)
	}
	return rows, nil
}

func (t *table) Scan(_ context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []infra.Row
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b infra.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// objects is an in-memory object store.
type objects struct{ sync.Map }

func (o *objects) Put(_ context.Context, key string, data []byte) error {
	o.Store(key, data)
	return nil
}

func (o *objects) Get(_ context.Context, key string) ([]byte, error) {
	data, ok := o.Load(key)
	if !ok {
		return nil, infra.ErrNotFound
	}
	return data.([]byte), nil
}
