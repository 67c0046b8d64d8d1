package dispatch

import "time"

// rosterEpochsDelay is how long an owner waits for workers to report before it says that
// the roster tells the epochs. Until then it gives leases at once, as a takeover mustn't
// end runs where the table service becomes slow or unavailable; if it is replaced by
// then, its successor counts it as having given leases to all workers.
const rosterEpochsDelay = time.Second

// markLeased records on the roster that this owner may give the worker leases. Once the
// owner's row says that the roster tells the epochs, it gives them when that is durable.
func (s *State) markLeased(w *worker) {
	if !s.rosterEpochs {
		w.leasable = true
	}
	if w.leasedIn != s.cfg.Epoch {
		w.leasedIn = s.cfg.Epoch
		s.dirtyRosterParts[w.rosterPart()] = true
	}
}

// claimRosterEpochs makes a batch with the last changes of the roster say that it tells
// the epochs, once most workers have reported.
func (s *State) claimRosterEpochs(now time.Time, b *Batch) {
	if s.firstFlushAt.IsZero() {
		s.firstFlushAt = now
	}
	waits := len(s.awaitingReport) > 0 && now.Sub(s.firstFlushAt) < rosterEpochsDelay
	if s.rosterEpochs || waits || len(s.dirtyRosterParts) > 0 || len(s.rosterAside) > 0 {
		return
	}
	s.rosterEpochs, b.RosterEpochs = true, true
}
