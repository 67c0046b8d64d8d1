package journal

import (
	"math"

	"github.com/fireflygate/fireflygate/infra"
)

// groupLimits bounds what a group takes beside the journal's own row.
type groupLimits struct {
	// entries is the number of conditions and writes, bytes their size as they are sent.
	entries, bytes int
}

// ownRowBytes bounds what the journal's own row takes in a transaction.
const ownRowBytes = 1 << 10

// newGroupLimits returns the limits in a transaction of a table service.
func newGroupLimits(l infra.TableLimits) groupLimits {
	return groupLimits{entries: l.Entries - 2, bytes: l.TransactionBytes - ownRowBytes}
}

// unlimited is the limit of a group that is rebuilt from another one.
var unlimited = groupLimits{entries: math.MaxInt, bytes: math.MaxInt}

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
	// rows counts the writes, needed the conditions and writes.
	rows, needed int
	bytes        int
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
func (g *group) add(e *Entry, maxRows int, limits groupLimits) bool {
	size, needed := e.size(), e.rowsNeeded()
	full := len(g.entries) > 0 && (g.rows+len(e.Writes) > maxRows || g.needed+needed > limits.entries || g.bytes+size > limits.bytes)
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
	g.needed += needed
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
