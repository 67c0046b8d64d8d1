package dispatch_test

import (
	"fmt"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// returningWorker is what a faultWorker that starts again under its ID has of its earlier
// lives, and the faults of its answers.
type returningWorker struct {
	// lives counts its lives; incarnations holds theirs.
	lives        int
	incarnations map[runner.Incarnation]bool
	// entry is the last life's entry on the membership list, nil once this life has written
	// its own, which is not before writesAt. endedAt is when the last life ended.
	entry             *runner.Worker
	writesAt, endedAt time.Time
	// takenAddress is an earlier address at which another worker answers now.
	takenAddress string
	// mutedUntil is the time before which its answers are lost.
	mutedUntil time.Time
}

// elsewhere reports whether an order went to an earlier address where another worker
// answers.
func (r *returningWorker) elsewhere(to, current string) bool {
	return to != current && to == r.takenAddress
}

// muted reports whether the worker's answers are lost.
func (r *returningWorker) muted(now time.Time) bool { return now.Before(r.mutedUntil) }

// clock returns the reading of the clock of the worker's current life.
func (w *faultWorker) clock(now time.Time) int64 { return 1 + now.Sub(w.bornAt).Milliseconds() }

// describe returns the worker's ID with the number of its life.
func (w *faultWorker) describe() string {
	if w.returning.lives == 0 {
		return w.info.ID
	}
	return fmt.Sprintf("%s (life %d)", w.info.ID, w.returning.lives)
}

// beginLife begins a life in which the worker holds and knows nothing of before.
func (w *faultWorker) beginLife(now time.Time, incarnation runner.Incarnation) {
	w.bornAt, w.info.Incarnation = now, incarnation
	w.token, w.leaseUntil, w.lastEnd, w.ends = 0, 0, 0, nil
	w.runs, w.highestRun = map[workload.TaskID]*faultRun{}, map[workload.TaskID]uint64{}
	w.terminatedAt, w.leavesAt = time.Time{}, time.Time{}
	w.returning.lives++
	w.returning.incarnations[incarnation] = true
}

// entry returns the worker's entry on the membership list, which may be that of its last
// life.
func (w *faultWorker) entry() runner.Worker {
	if w.returning.entry != nil {
		return *w.returning.entry
	}
	return w.info
}

// listing returns the worker's entry, false if that of its last life has lapsed and this one
// hasn't written its own.
func (w *faultWorker) listing(now time.Time) (runner.Worker, bool) {
	r := &w.returning
	if r.entry != nil && w.terminatedAt.IsZero() && !now.Before(r.writesAt) {
		r.entry = nil
	}
	return w.entry(), r.entry == nil || now.Sub(r.endedAt) <= listLag
}
