package journal

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
)

// stop waits for the attempt in flight, closes the queue and completes all
// remaining entries; those that were never sent fail as not applied.
func (j *Journal) stop() {
	if j.attempting {
		j.handleResult(<-j.results)
	}
	j.mu.Lock()
	j.closed = true
	rest := append(j.queue.urgent, j.queue.normal...)
	j.queue.urgent, j.queue.normal = nil, nil
	j.mu.Unlock()
	if g := j.inFlight; g != nil {
		finish(g.entries, infra.CommitResult{Status: abandonedStatus(g)})
	}
	for _, g := range j.divided {
		rest = append(rest, g.entries...)
	}
	finish(rest, infra.CommitResult{Status: infra.CommitNotApplied})
}

// abandonedStatus returns the status of an abandoned group: unknown if an attempt may
// still take effect.
func abandonedStatus(g *group) infra.CommitStatus {
	if g.maybeApplied {
		return infra.CommitUnknown
	}
	return infra.CommitNotApplied
}

// finish reports the result to all entries.
func finish(entries []*Entry, r infra.CommitResult) {
	for _, e := range entries {
		e.Done(r)
	}
}

// conflictsOf returns the rows that violate a condition of the entry.
func conflictsOf(e *Entry, failed map[string]infra.Row) []infra.Row {
	var rows []infra.Row
	for _, c := range e.Conditions {
		if row, ok := failed[c.Key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// encodeNumber encodes a commit number as the value of the journal's row.
func encodeNumber(n uint64) []byte {
	value, err := msgpack.Marshal(n)
	if err != nil {
		panic(err) // unreachable: an integer always encodes
	}
	return value
}

// decodeNumber decodes a value written by encodeNumber; 0 if it is empty or
// malformed.
func decodeNumber(value []byte) uint64 {
	var n uint64
	if len(value) == 0 || msgpack.Unmarshal(value, &n) != nil {
		return 0
	}
	return n
}

// statusName returns the metric label of a status.
func statusName(s infra.CommitStatus) string {
	switch s {
	case infra.CommitApplied:
		return "applied"
	case infra.CommitConflict:
		return "conflict"
	case infra.CommitNotApplied:
		return "not_applied"
	case infra.CommitRejected:
		return "rejected"
	default:
		return "unknown"
	}
}
