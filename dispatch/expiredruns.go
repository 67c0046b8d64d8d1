package dispatch

import (
	"slices"
	"time"
)

// expiredRuns returns the runs of a worker that are over, as its lease has expired. A start
// that wasn't answered may have been carried out by a worker that has started again under its
// ID: it gives the lease by a clock that the worker doesn't have, so that it lasts for up to
// MaxLease.
func (s *State) expiredRuns(now time.Time, w *worker) []*run {
	runs := slices.Clone(w.runsByNumber)
	if s.longestLeaseOver(now, w) {
		return runs
	}
	return slices.DeleteFunc(runs, func(r *run) bool { return !r.confirmed && !r.held })
}

// longestLeaseOver reports whether a lease that the worker has cut to MaxLease is over too,
// and the ownership was confirmed since that was found.
func (s *State) longestLeaseOver(now time.Time, w *worker) bool {
	longer := max(0, s.cfg.MaxLease-s.cfg.Lease)
	if longer == 0 || w.leaseUntil == 0 {
		return true
	}
	if w.clockLowerBound(now) <= w.leaseUntil+(longer+leaseExpiryMargin).Milliseconds() {
		return false
	}
	if w.longestOverAt.IsZero() {
		w.longestOverAt = now
	}
	return s.confirmation.confirmedSince(w.longestOverAt)
}
