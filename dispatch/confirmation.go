package dispatch

import "time"

// confirmation tracks which commits of the owner were applied. As each is applied only
// while nobody has replaced the owner, one that began after a lease was over shows that
// no successor had renewed it before.
type confirmation struct {
	// confirmedAt is when the newest applied commit began.
	confirmedAt time.Time
	// awaitedSince is the latest time from which a confirmation is awaited.
	awaitedSince time.Time
}

// ConfirmOwnership records that a commit that began at the given time was applied. The
// time is a reading of the clock that all times passed to the State are from.
func (s *State) ConfirmOwnership(began time.Time) {
	if began.After(s.confirmation.confirmedAt) {
		s.confirmation.confirmedAt = began
	}
	s.resolveRefusals(began)
}

// AwaitsConfirmation reports whether runs count as ended only once a commit that
// begins from now on is applied.
func (s *State) AwaitsConfirmation() bool {
	return s.confirmation.awaitedSince.After(s.confirmation.confirmedAt)
}

// confirmedSince reports whether a commit that began at the given time or later was
// applied; if none was, it is awaited.
func (c *confirmation) confirmedSince(at time.Time) bool {
	if !c.confirmedAt.Before(at) {
		return true
	}
	c.await(at)
	return false
}

// await records that a commit is awaited that begins at the given time or later.
func (c *confirmation) await(at time.Time) {
	if at.After(c.awaitedSince) {
		c.awaitedSince = at
	}
}

// leaseOver reports whether the lease of a worker is over and the ownership was
// confirmed since that was found.
func (s *State) leaseOver(now time.Time, w *worker) bool {
	if w.leaseOverAt.IsZero() {
		w.leaseOverAt = now
	}
	return s.confirmation.confirmedSince(w.leaseOverAt)
}
