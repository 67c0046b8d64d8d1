package journal

import "github.com/fireflygate/fireflygate/infra"

// group is a set of entries that go into one transaction.
type group struct {
	entries []*Entry
	// written and required are the rows touched so far.
	written  map[string]struct{}
	required map[string]uint64
	// blocked are rows of entries that had to wait; later ones wait too.
	blocked map[string]struct{}
	rows    int
	bytes   int
	// tainted is set when an attempt's answer was lost: it may yet take
	// effect, so no entry may be called not applied before it is settled.
	tainted bool
}

// newGroup returns an empty group.
func newGroup() *group {
	return &group{
		written:  map[string]struct{}{},
		required: map[string]uint64{},
		blocked:  map[string]struct{}{},
	}
}

// add takes the entry in and reports whether it may share the transaction.
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

// compatible reports whether the entry touches no row that another writes.
func (g *group) compatible(e *Entry) bool {
	for _, c := range e.Conditions {
		if g.taken(c.Key) {
			return false
		}
		if v, ok := g.required[c.Key]; ok && v != c.Version {
			return false
		}
	}
	for _, w := range e.Writes {
		if g.taken(w.Key) {
			return false
		}
		if _, ok := g.required[w.Key]; ok {
			return false
		}
	}
	return true
}

// taken reports whether the row is written in the group, or by an entry that
// waits ahead.
func (g *group) taken(key string) bool {
	if _, ok := g.written[key]; ok {
		return true
	}
	_, ok := g.blocked[key]
	return ok
}

// block makes later entries on the entry's written rows wait.
func (g *group) block(e *Entry) {
	for _, w := range e.Writes {
		g.blocked[w.Key] = struct{}{}
	}
}

// transaction returns the group's transaction with the journal's own row.
func (g *group) transaction(own infra.Condition, mark infra.Write) infra.Transaction {
	tx := infra.Transaction{Conditions: []infra.Condition{own}}
	for key, version := range g.required {
		tx.Conditions = append(tx.Conditions, infra.Condition{Key: key, Version: version})
	}
	for _, e := range g.entries {
		tx.Writes = append(tx.Writes, e.Writes...)
	}
	tx.Writes = append(tx.Writes, mark)
	return tx
}
