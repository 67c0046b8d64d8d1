package queue

import (
	"cmp"
	"time"
)

// Timeliness says what a step's job can still reach.
type Timeliness uint8

// From best to worst.
const (
	// OnTime can still meet its objective.
	OnTime Timeliness = iota
	// Late can still end while that is of some use.
	Late
	// Expired is past both; it is owed all the same.
	Expired
)

// hopeNames are the hopes as logs show them.
var hopeNames = [...]string{"on time", "late", "lost"}

// String returns the hope as logs show it.
func (h Timeliness) String() string {
	if int(h) < len(hopeNames) {
		return hopeNames[h]
	}
	return "unknown"
}

// TimelinessOf returns what the entry can still reach.
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

// Compare orders two entries for slices.SortFunc: by priority; long-running
// tasks that ran before, then those that haven't; by hope; then, among those on time, the one that must
// start first, among the late the one with least work, which frees its room
// soonest, and among the lost the one that came first.
func Compare(a, b *Entry, now time.Time) int {
	if c := compareUrgency(a, b); c != 0 {
		return c
	}
	if c := compareLasting(a, b); c != 0 {
		return c
	}
	ha, hb := TimelinessOf(a, now), TimelinessOf(b, now)
	if c := cmp.Compare(ha, hb); c != 0 {
		return c
	}
	c := 0
	switch ha {
	case OnTime:
		c = a.LatestStart.Compare(b.LatestStart)
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

// CompareArrival orders two entries by priority, long-running tasks that ran
// before, and arrival. It is what Compare is measured against.
func CompareArrival(a, b *Entry, _ time.Time) int {
	if c := compareUrgency(a, b); c != 0 {
		return c
	}
	return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// compareUrgency orders by priority, and long-running tasks that ran before
// ahead of others.
func compareUrgency(a, b *Entry) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 || a.Restart == b.Restart {
		return c
	}
	if a.Restart {
		return -1
	}
	return 1
}

// compareLasting orders the first starts of long-running tasks: before others,
// and of them those first that may share a worker with fewest of their step.
// Such a step needs many workers of its class. Placed last it finds these full
// and ends up among other classes, where hardly a filler suits: of 48 workers
// that 37 jobs fill to 75%, 9 to 14 mixed classes, now none.
func compareLasting(a, b *Entry) int {
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
