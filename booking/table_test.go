package booking

import (
	"context"
	"strings"
	"sync"

	"github.com/fireflygate/fireflygate/infra"
)

// fault is what a table does to one commit.
type fault int

const (
	none       fault = iota
	loseAnswer       // takes effect, the answer is lost
	loseCommit       // takes no effect, nobody knows
	delay            // as loseCommit, but takes effect at late
	refuse           // takes no effect, and says so
)

// table is a small table service with faults.
type table struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]infra.Row
	// faults are used up by the commits, in order.
	faults []fault
	down   bool
	// keep makes the table refuse deletions.
	keep bool
	late []func()
}

func newTable(faults ...fault) *table {
	return &table{rows: map[string]infra.Row{}, faults: faults}
}

func (t *table) Commit(_ context.Context, conds []infra.Condition, writes []infra.Write) infra.CommitResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := none
	if len(t.faults) > 0 {
		f, t.faults = t.faults[0], t.faults[1:]
	}
	if t.down || (t.keep && writes[0].Delete) {
		f = refuse
	}
	switch f {
	case refuse:
		return infra.CommitResult{Status: infra.CommitNotApplied}
	case loseCommit:
		return infra.CommitResult{}
	case delay:
		t.late = append(t.late, func() { t.apply(conds, writes) })
		return infra.CommitResult{}
	case loseAnswer:
		t.apply(conds, writes)
		return infra.CommitResult{}
	default:
		return t.apply(conds, writes)
	}
}

// setKeep makes the table refuse deletions, or take them again.
func (t *table) setKeep(keep bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keep = keep
}

// arrive lets delayed commits take effect.
func (t *table) arrive() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, apply := range t.late {
		apply()
	}
	t.late = nil
}

func (t *table) apply(conds []infra.Condition, writes []infra.Write) infra.CommitResult {
	for _, c := range conds {
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
		if strings.HasPrefix(k, prefix) && k > after && len(rows) < limit {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

// objects is an object store.
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
