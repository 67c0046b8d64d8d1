package dispatch

import (
	"slices"
	"time"
)

// rosterSize is the size of the roster that earlier owners have left, and how many of its
// workers have reported to this owner. changed is set once this owner has added workers or
// removed some.
type rosterSize struct {
	inherited, reported int
	changed             bool
}

// LeavesNoMajority reports whether most workers of an earlier owner's roster refuse its orders, or
// half of them. Those on the inherited roster that have reported to this owner do, unless they start
// again. The earlier roster had a number of workers, 0 if it is the inherited one, of which some may
// have been removed since.
func (s *State) LeavesNoMajority(workers, removed int) bool {
	if workers == 0 {
		workers = s.roster.inherited
	}
	return 2*(s.roster.inherited-s.roster.reported+removed) <= workers
}

// MajorityAcceptedAt returns the latest time at or after which more than half of the workers
// that the durable roster may name have been given a renewal that they carried out under this
// owner's token. It is zero if half of them or fewer ever have. A worker that has started
// again since the last applied commit doesn't count: its new life may not know the token of a
// successor that the life before has seen.
func (s *State) MajorityAcceptedAt() time.Time {
	total := len(s.workers)
	for _, n := range s.removedUnwritten {
		total += n
	}
	var accepted []time.Time
	for _, w := range s.workers {
		if !w.acceptedAt.IsZero() && (w.since.IsZero() || w.since.Before(s.confirmation.confirmedAt)) {
			accepted = append(accepted, w.acceptedAt)
		}
	}
	if 2*len(accepted) <= total {
		return time.Time{}
	}
	slices.SortFunc(accepted, func(a, b time.Time) int { return b.Compare(a) })
	return accepted[total/2]
}

// ForgetAcceptances makes MajorityAcceptedAt count only renewals that are given from now on,
// as after a pause of the process whose length isn't known.
func (s *State) ForgetAcceptances() {
	for _, w := range s.workers {
		w.acceptedAt = time.Time{}
	}
}
