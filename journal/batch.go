package journal

import "github.com/fireflygate/fireflygate/infra"

// group is a set of entries committed in one transaction.
type group struct {
	entries []*Entry
	// written holds the rows that the group writes, required the row versions
	// that it depends on.
	written  map[string]struct{}
	required map[string]uint64
	// blocked holds the rows written by deferred entries; later entries that
	// touch them are deferred too, which preserves the order of writes.
	blocked map[string]struct{}
	rows    int
	bytes   int
	// maybeApplied is set while the outcome of an attempt is unknown. Such an attempt
	// may still take effect, so its entries can't be reported as not applied.
	maybeApplied bool
}

func newGroup() *group {
	return &group{
		written:  map[string]struct{}{},
		required: map[string]uint64{},
		blocked:  map[string]struct{}{},
	}
}

// add adds the entry if it fits and conflicts with no other entry of the
// transaction. It reports whether the entry was added.
func (g *group) add(e *Entry, maxRows, maxBytes int) bool {
	size := e.size()
	full := len(g.entries) > 0 && (g.rows+len(e.Writes) > maxRows || g.bytes+size > maxBytes)
	if full || !g.compatible(e) {
		g.block(e)
		return false
	}
	for _, c := range e.Conditions {
		g.required[c.Key] = c.Version
	}
	for _, w := range e.Writes {
		g.written[w.Key] = struct{}{}
	}
	g.entries = append(g.entries, e)
	g.rows += len(e.Writes)
	g.bytes += size
	return true
}

// compatible reports whether the entry can share the transaction: no entry reads
// a row that another writes, writes the same row or requires another version.
func (g *group) compatible(e *Entry) bool {
	for _, c := range e.Conditions {
		if g.writePending(c.Key) {
			return false
		}
		if v, ok := g.required[c.Key]; ok && v != c.Version {
			return false
		}
	}
	for _, w := range e.Writes {
		if g.writePending(w.Key) {
			return false
		}
		if _, ok := g.required[w.Key]; ok {
			return false
		}
	}
	return true
}

// writePending reports whether the row is written by the group or by an earlier,
// deferred entry.
func (g *group) writePending(key string) bool {
	if _, ok := g.written[key]; ok {
		return true
	}
	_, ok := g.blocked[key]
	return ok
}

// block defers later entries that touch rows which e writes.
func (g *group) block(e *Entry) {
	for _, w := range e.Writes {
		g.blocked[w.Key] = struct{}{}
	}
}

// transaction returns the group's transaction, extended by the condition and the
// write on the journal's own row.
func (g *group) transaction(own infra.Condition, ownWrite infra.Write) infra.Transaction {
	tx := infra.Transaction{Conditions: []infra.Condition{own}}
	for key, version := range g.required {
		tx.Conditions = append(tx.Conditions, infra.Condition{Key: key, Version: version})
	}
	for _, e := range g.entries {
		tx.Writes = append(tx.Writes, e.Writes...)
	}
	tx.Writes = append(tx.Writes, ownWrite)
	return tx
}
