package journal

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
)

// stop ends the journal: what is out gets its answer, the rest was not sent.
func (j *Journal) stop() {
	if j.out {
		j.take(<-j.answers)
	}
	j.mu.Lock()
	j.closed = true
	rest := append(j.queue.urgent, j.queue.normal...)
	j.queue.urgent, j.queue.normal = nil, nil
	j.mu.Unlock()
	if g := j.inFlight; g != nil {
		finish(g.entries, infra.CommitResult{Status: unsettled(g)})
	}
	finish(rest, infra.CommitResult{Status: infra.CommitNotApplied})
}

// unsettled returns what can be said of a group that was given up.
func unsettled(g *group) infra.CommitStatus {
	if g.tainted {
		return infra.CommitUnknown
	}
	return infra.CommitNotApplied
}

// finish hands the result to all entries.
func finish(entries []*Entry, r infra.CommitResult) {
	for _, e := range entries {
		e.Done(r)
	}
}

// conflictsOf returns the rows that failed a condition of the entry.
func conflictsOf(e *Entry, failed map[string]infra.Row) []infra.Row {
	var rows []infra.Row
	for _, c := range e.Conditions {
		if row, ok := failed[c.Key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// encodeNumber returns the value of the journal's row.
func encodeNumber(n uint64) []byte {
	value, err := msgpack.Marshal(n)
	if err != nil {
		panic(err) // broken invariant: an integer always encodes
	}
	return value
}

// decodeNumber reads what encodeNumber wrote; 0 for an absent row.
func decodeNumber(value []byte) uint64 {
	var n uint64
	if len(value) == 0 || msgpack.Unmarshal(value, &n) != nil {
		return 0
	}
	return n
}

// statusName is the metric label of a result.
func statusName(s infra.CommitStatus) string {
	switch s {
	case infra.CommitApplied:
		return "applied"
	case infra.CommitConflict:
		return "conflict"
	case infra.CommitNotApplied:
		return "not_applied"
	default:
		return "unknown"
	}
}
