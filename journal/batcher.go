package journal

import (
	"time"
)

const (
	// maxBytes bounds the values of one transaction.
	maxBytes = 1 << 20
	// slowStartRows is how many rows a transaction has after the table failed.
	slowStartRows = 16
	// slowStartGrowth multiplies the rows allowed with each success.
	slowStartGrowth = 2
)

// batcher is the pure core: the queue and the forming of groups.
type batcher struct {
	maxRows  int
	maxQueue int
	rows     int
	urgent   []*Entry
	normal   []*Entry
	// waiting counts queued normal entries by written row.
	waiting map[string]int
}

// newBatcher returns an empty queue.
func newBatcher(maxRows, maxQueue int) *batcher {
	return &batcher{maxRows: maxRows, maxQueue: maxQueue, rows: maxRows, waiting: map[string]int{}}
}

// setMaxRows changes the largest number of rows in one transaction.
func (b *batcher) setMaxRows(rows int) {
	if b.rows == b.maxRows || b.rows > rows {
		b.rows = rows
	}
	b.maxRows = rows
}

// push queues the entry, or reports that the queue is full.
func (b *batcher) push(e *Entry) bool {
	if b.len() >= b.maxQueue {
		return false
	}
	if e.Urgent && !b.follows(e) {
		b.urgent = append(b.urgent, e)
		return true
	}
	b.normal = append(b.normal, e)
	b.count(e, 1)
	return true
}

// follows reports whether a queued normal entry writes a row of e.
func (b *batcher) follows(e *Entry) bool {
	for _, w := range e.Writes {
		if b.waiting[w.Key] > 0 {
			return true
		}
	}
	return false
}

// count keeps the rows of queued normal entries.
func (b *batcher) count(e *Entry, by int) {
	for _, w := range e.Writes {
		b.waiting[w.Key] += by
		if b.waiting[w.Key] == 0 {
			delete(b.waiting, w.Key)
		}
	}
}

// len returns the number of queued entries.
func (b *batcher) len() int { return len(b.urgent) + len(b.normal) }

// full reports whether the queue fills a transaction.
func (b *batcher) full() bool { return b.len() >= b.rows }

// next takes the next group off the queue; nil if there is none.
func (b *batcher) next() *group {
	if b.len() == 0 {
		return nil
	}
	g := newGroup()
	b.urgent = b.fill(g, b.urgent, func(*Entry) {})
	b.normal = b.fill(g, b.normal, func(e *Entry) { b.count(e, -1) })
	return g
}

// fill moves what fits from the queue into the group and returns the rest.
func (b *batcher) fill(g *group, queue []*Entry, taken func(*Entry)) []*Entry {
	rest := make([]*Entry, 0, len(queue))
	for i, e := range queue {
		if g.rows >= b.rows {
			return append(rest, queue[i:]...)
		}
		if g.add(e, b.rows, maxBytes) {
			taken(e)
			continue
		}
		rest = append(rest, e)
	}
	return rest
}

// expire removes and returns the entries whose deadline has passed.
func (b *batcher) expire(now time.Time) []*Entry {
	var out []*Entry
	b.urgent = split(b.urgent, now, func(e *Entry) { out = append(out, e) })
	b.normal = split(b.normal, now, func(e *Entry) {
		b.count(e, -1)
		out = append(out, e)
	})
	return out
}

// split keeps the entries that are in time and hands over the others.
func split(queue []*Entry, now time.Time, late func(*Entry)) []*Entry {
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

// succeeded and failed pace the size of transactions around outages.
func (b *batcher) succeeded() { b.rows = min(b.maxRows, b.rows*slowStartGrowth) }
func (b *batcher) failed()    { b.rows = min(b.maxRows, slowStartRows) }
