package queue

import (
	"cmp"
	"math"
	"time"
)

// Timeliness tells whether a step's job can still meet its objective.
type Timeliness uint8

// The values of Timeliness, from best to worst.
const (
	// OnTime means that the objective can still be met.
	OnTime Timeliness = iota
	// Late means that the objective is missed, but the result is still useful.
	Late
	// Expired means that the result is no longer useful; the job still has to
	// run.
	Expired
)

// timelinessNames are the names used in logs.
var timelinessNames = [...]string{"on time", "late", "lost"}

// String returns the name used in logs.
func (t Timeliness) String() string {
	if int(t) < len(timelinessNames) {
		return timelinessNames[t]
	}
	return "unknown"
}

// TimelinessOf returns the timeliness of an entry that starts at now.
func TimelinessOf(e *Entry, now time.Time) Timeliness {
	switch {
	case !now.After(e.LatestStart):
		return OnTime
	case !now.After(e.LatestUsefulStart):
		return Late
	default:
		return Expired
	}
}

// Compare orders two entries, for use with slices.SortFunc. It orders by
// priority, then restarts of long-running tasks, then their first starts, then
// timeliness. Entries on time are ordered by effort, then latest start; late ones by least
// remaining work, which frees their capacity soonest; expired ones by arrival.
func Compare(a, b *Entry, now time.Time) int {
	return compareBy(a, b, now, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.Effort, b.Effort), a.LatestStart.Compare(b.LatestStart))
	})
}

// CompareLatestStart is Compare with entries on time ordered by latest start.
func CompareLatestStart(a, b *Entry, now time.Time) int {
	return compareBy(a, b, now, func(a, b *Entry) int { return a.LatestStart.Compare(b.LatestStart) })
}

// EffortOf returns the remaining work of a job over the square root of all its work.
// Under a load of which not all can be on time the order by latest start begins all jobs
// and ends them late. The least remaining work first ends most jobs, but starves the
// large ones; the share that is left first treats all sizes alike, and ends fewer. The
// effort lies between the two.
func EffortOf(remaining, total int64) float64 {
	return float64(remaining) / math.Sqrt(float64(max(total, 1)))
}

// compareBy is Compare with the given order of entries on time.
func compareBy(a, b *Entry, now time.Time, onTime func(a, b *Entry) int) int {
	if c := compareUrgency(a, b); c != 0 {
		return c
	}
	if c := compareLongRunning(a, b); c != 0 {
		return c
	}
	ta, tb := TimelinessOf(a, now), TimelinessOf(b, now)
	if c := cmp.Compare(ta, tb); c != 0 {
		return c
	}
	c := 0
	switch ta {
	case OnTime:
		c = onTime(a, b)
	case Late:
		c = cmp.Compare(a.RemainingWork, b.RemainingWork)
	case Expired:
		c = a.Arrived.Compare(b.Arrived)
	}
	if c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// CompareArrival orders two entries by restarts of long-running tasks, then priority,
// then arrival, without regard to timeliness.
func CompareArrival(a, b *Entry, _ time.Time) int {
	if c := compareUrgency(a, b); c != 0 {
		return c
	}
	return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// compareUrgency orders restarts of long-running tasks before all others, and these by priority. A
// long-running task may not stay away for long, however full the pool is with work of other queues.
func compareUrgency(a, b *Entry) int {
	switch {
	case a.Restart == b.Restart:
		return cmp.Compare(a.Priority, b.Priority)
	case a.Restart:
		return -1
	default:
		return 1
	}
}

// compareLongRunning puts first starts of long-running tasks before other
// entries, those with the smallest MaxPerWorker first. They need the most
// workers; placed last they would have to share workers with other classes,
// which few best-effort tasks can run alongside.
func compareLongRunning(a, b *Entry) int {
	if a.LongRunning != b.LongRunning {
		if a.LongRunning {
			return -1
		}
		return 1
	}
	if !a.LongRunning || a.MaxPerWorker == b.MaxPerWorker {
		return 0
	}
	if a.MaxPerWorker == 0 {
		return 1
	}
	if b.MaxPerWorker == 0 {
		return -1
	}
	return cmp.Compare(a.MaxPerWorker, b.MaxPerWorker)
}
