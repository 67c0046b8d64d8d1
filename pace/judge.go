package pace

import (
	"slices"
	"time"
)

// minPeers is the least number of workers with evidence for which a median says what
// is normal.
const minPeers = 4

// Judge decides which workers of one pool are slow. The zero value is ready for use.
type Judge struct {
	// highest is the highest median of the pool's slowdowns within slowLifetime, as a
	// logarithm, and highestAt its time in Unix nanoseconds. Workers are compared with
	// it, as their observations may be from that time.
	highest   float32
	highestAt int64
	// summaries, medians, times and changed are buffers.
	summaries []summary
	medians   []float32
	times     []int64
	changed   []int
}

// Decide updates the factors of the workers of the pool and returns the indexes of
// those that have become slow or healthy again. The result is valid until the next
// call.
func (j *Judge) Decide(now time.Time, workers []*Worker) []int {
	at := now.UnixNano()
	j.summaries, j.medians, j.times, j.changed = j.summaries[:0], j.medians[:0], j.times[:0], j.changed[:0]
	for _, w := range workers {
		s := w.summarize(at)
		j.summaries = append(j.summaries, s)
		if s.known {
			j.medians = append(j.medians, s.median)
			j.times = append(j.times, w.since)
		}
	}
	pool, heard := float32(0), int64(0)
	if len(j.medians) >= minPeers {
		slices.Sort(j.medians)
		slices.Sort(j.times)
		pool, heard = j.medians[len(j.medians)/2], j.times[len(j.times)/2]
	}
	if pool >= j.highest || time.Duration(at-j.highestAt) > slowLifetime {
		j.highest, j.highestAt = pool, at
	}
	pool = j.highest
	for i, w := range workers {
		if before := w.slow; w.judge(at, j.summaries[i], pool, heard) != before {
			j.changed = append(j.changed, i)
		}
	}
	return j.changed
}

// judge updates the worker's factor and whether it counts as slow, which it returns.
// pool is the logarithm of the pool's slowdown. heard is when the last measurements of half
// of the workers had begun, 0 if there are fewer than minPeers. A worker becomes slow only
// if it was doubtful by then: otherwise, if the whole pool slowed down, the first workers to
// report that would count as slow.
func (w *Worker) judge(now int64, s summary, pool float32, heard int64) bool {
	if s.known && heard != 0 {
		w.log = clamp(s.median - pool)
	}
	if !w.slow && (!s.known || s.highest-pool < slowLog) {
		w.doubtful, w.onsetAt = false, 0 // no observation is against it
		return false
	}
	weight := w.weight(now, pool)
	w.doubtful = heard != 0 && weight-priorWeight >= tailWeight
	switch {
	case !w.doubtful:
		w.onsetAt = 0
	case w.onsetAt == 0:
		w.onsetAt = w.evidenceAt
	}
	if w.slow {
		w.slow = w.decayed(now) >= recoveredLog && (!s.known || weight >= priorWeight)
		return w.slow
	}
	w.slow = w.doubtful && w.log >= slowLog && weight >= requiredWeight && w.onsetAt <= heard
	return w.slow
}
