package dispatch

import "time"

const (
	// unleasedAfter is how long a worker has to be unresponsive before the owner's row says
	// that it gets no leases: more than two polls take, as one may fail with its connection.
	unleasedAfter = 600 * time.Millisecond
	// maxUnleased bounds the workers that a row names, so that it stays small.
	maxUnleased = 128
)

// UnleasedWorker is a worker that doesn't answer and gets no leases while the owner's row names
// it, so that a successor knows until when it may hold one. LeaseEnd is when those are over that
// this owner and earlier ones may have given.
type UnleasedWorker struct {
	// Worker is the hash of the worker's ID.
	Worker   uint32
	LeaseEnd time.Time
}

// collectUnleased adds to a batch the workers that the owner's row is to name. They get no
// leases from now on until a commit without them is applied.
func (s *State) collectUnleased(now time.Time, b *Batch) {
	for _, w := range s.byID() {
		end, unleased := w.unleasedUntil(now)
		unleased = unleased && len(b.Unleased) < maxUnleased
		b.UnleasedChanged = b.UnleasedChanged || unleased != w.unleased
		if unleased {
			w.unleased = true
			b.Unleased = append(b.Unleased, UnleasedWorker{Worker: w.hash, LeaseEnd: end})
		}
	}
}

// markUnleased records that the owner's row names the workers of an applied batch, and no
// others.
func (s *State) markUnleased(b *Batch) {
	if !b.UnleasedChanged {
		return
	}
	named := make(map[uint32]bool, len(b.Unleased))
	for _, u := range b.Unleased {
		named[u.Worker] = true
	}
	for _, w := range s.workers {
		w.unleased = w.unleased && named[w.hash]
	}
}

// unleasedUntil returns when all leases of an unresponsive worker are over, and whether the
// owner's row is to say so. It isn't while a life that is not known may have carried out an
// order, since that holds its lease for longer.
func (w *worker) unleasedUntil(now time.Time) (end time.Time, unleased bool) {
	silent := w.suspected && now.Sub(w.unresponsiveSince) >= unleasedAfter
	silentBefore := w.unleased && !w.reported // to the owner before this one
	switch {
	case !w.inRoster, !silent && !silentBefore, w.startUnanswered(), w.mayBeAnotherLife():
		return time.Time{}, false
	}
	end = now
	if !w.reported && w.inheritedUntil.After(end) {
		end = w.inheritedUntil
	}
	if w.leaseUntil == 0 {
		return end, true
	}
	if w.clockAt.IsZero() {
		return time.Time{}, false
	}
	if over := w.leaseOverBy(); over.After(end) {
		end = over
	}
	return end, true
}

// InheritUnleased records the workers that the owner's row names since it was acquired, as that
// of the previous owner did. They have no leases that last longer than it says.
func (s *State) InheritUnleased(all []UnleasedWorker) {
	byHash := make(map[uint32][]*worker, len(s.awaitingReport))
	for _, w := range s.awaitingReport {
		byHash[w.hash] = append(byHash[w.hash], w)
	}
	for _, u := range all {
		named := byHash[u.Worker]
		for _, w := range named {
			w.unleased = true
		}
		if len(named) == 1 { // of several it isn't known which one is meant
			named[0].unleasedEnd = u.LeaseEnd
			named[0].inheritedUntil = s.inheritedEnd(named[0])
		}
	}
}

// inheritedEnd returns when the leases of a worker are over that earlier owners may have given
// it.
func (s *State) inheritedEnd(w *worker) time.Time {
	end := s.inheritedUntil(w.leasedIn)
	if !w.unleasedEnd.IsZero() && w.unleasedEnd.Before(end) {
		return w.unleasedEnd
	}
	return end
}

// mayLease reports whether this owner may give the worker leases.
func (w *worker) mayLease() bool { return w.leasable && !w.unleased }
