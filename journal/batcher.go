package journal

import (
	"time"
)

const (
	// slowStartRows is the row limit of the first transaction after a failed one.
	slowStartRows = 16
	// slowStartGrowth multiplies the row limit after each success.
	slowStartGrowth = 2
)

// batcher queues entries and forms groups. It has no clock and no lock.
type batcher struct {
	limits   groupLimits
	maxRows  int
	maxQueue int
	rows     int
	urgent   []*Entry
	normal   []*Entry
	// queuedWrites counts the queued normal entries that write each row.
	queuedWrites map[string]int
}

func newBatcher(limits groupLimits, maxRows, maxQueue int) *batcher {
	return &batcher{limits: limits, maxRows: maxRows, maxQueue: maxQueue, rows: maxRows, queuedWrites: map[string]int{}}
}

// setMaxRows changes the row limit of a transaction. A lower limit in force after
// a failure stays.
func (b *batcher) setMaxRows(rows int) {
	if b.rows == b.maxRows || b.rows > rows {
		b.rows = rows
	}
	b.maxRows = rows
}

// push queues the entry; it returns false if the queue is full. An urgent entry
// queues as a normal one if it writes a row of a queued normal entry.
func (b *batcher) push(e *Entry) bool {
	if b.len() >= b.maxQueue {
		return false
	}
	if e.Urgent && !b.hasQueuedWrite(e) {
		b.urgent = append(b.urgent, e)
		return true
	}
	b.normal = append(b.normal, e)
	b.countWrites(e, 1)
	return true
}

// hasQueuedWrite reports whether a queued normal entry writes a row that e writes.
func (b *batcher) hasQueuedWrite(e *Entry) bool {
	for _, w := range e.Writes {
		if b.queuedWrites[w.Key] > 0 {
			return true
		}
	}
	return false
}

// countWrites adds by to the number of queued normal entries for each row e writes.
func (b *batcher) countWrites(e *Entry, by int) {
	for _, w := range e.Writes {
		b.queuedWrites[w.Key] += by
		if b.queuedWrites[w.Key] == 0 {
			delete(b.queuedWrites, w.Key)
		}
	}
}

func (b *batcher) len() int { return len(b.urgent) + len(b.normal) }

// full reports whether the queue has at least as many entries as a transaction
// may have rows.
func (b *batcher) full() bool { return b.len() >= min(b.rows, b.limits.entries) }

// next removes the next group from the queue; nil if the queue is empty.
func (b *batcher) next() *group {
	if b.len() == 0 {
		return nil
	}
	g := newGroup()
	b.urgent = b.fill(g, b.urgent, func(*Entry) {})
	b.normal = b.fill(g, b.normal, func(e *Entry) { b.countWrites(e, -1) })
	return g
}

// fill moves the entries that fit from the queue to the group, calls moved for
// each and returns the rest.
func (b *batcher) fill(g *group, queue []*Entry, moved func(*Entry)) []*Entry {
	rest := make([]*Entry, 0, len(queue))
	for i, e := range queue {
		if g.rows >= b.rows {
			return append(rest, queue[i:]...)
		}
		if g.add(e, b.rows, b.limits) {
			moved(e)
			continue
		}
		rest = append(rest, e)
	}
	return rest
}

// expire removes and returns the entries whose deadline has passed.
func (b *batcher) expire(now time.Time) []*Entry {
	var out []*Entry
	b.urgent = removeExpired(b.urgent, now, func(e *Entry) { out = append(out, e) })
	b.normal = removeExpired(b.normal, now, func(e *Entry) {
		b.countWrites(e, -1)
		out = append(out, e)
	})
	return out
}

// removeExpired removes the expired entries from the queue in place and calls late for
// each.
func removeExpired(queue []*Entry, now time.Time, late func(*Entry)) []*Entry {
	kept := queue[:0]
	for _, e := range queue {
		if e.expired(now) {
			late(e)
			continue
		}
		kept = append(kept, e)
	}
	clear(queue[len(kept):])
	return kept
}

// succeeded and failed adjust the row limit: it drops after a failure and grows
// with each success.
func (b *batcher) succeeded() { b.rows = min(b.maxRows, b.rows*slowStartGrowth) }
func (b *batcher) failed()    { b.rows = min(b.maxRows, slowStartRows) }
