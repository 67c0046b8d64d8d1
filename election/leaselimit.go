package election

import "time"

// An owner gives leases on the proof that nobody had replaced it at some time: the start of
// its last applied commit, or a time at which most workers still accepted its orders. The
// limits bound how long after that time a lease may last, so that a successor knows until
// when it has to wait for workers that don't answer, whatever became of the owner.
const (
	// CommitLease limits leases that rest on the last applied commit: a full lease, given
	// as long after the commit's start as the next one usually begins.
	CommitLease = 6400 * time.Millisecond
	// FirstCommitLease replaces it until the owner's row says that the roster tells the epochs:
	// by then a successor counts a worker that this owner hasn't reached as one that it has
	// just given a lease.
	FirstCommitLease = CommitLease - time.Second
	// MajorityLease limits leases that rest on the acceptance of orders by most workers. It
	// spans several of the short polls of an owner that can't commit.
	MajorityLease = 4500 * time.Millisecond
)

// leaseMargin covers clocks rounded to milliseconds and late timers of workers.
const leaseMargin = 100 * time.Millisecond

// commitLease returns the limit of leases that rest on the last applied commit. rosterEpochs
// tells whether the owner's row has said that the roster tells the epochs.
func commitLease(rosterEpochs bool) time.Duration {
	if rosterEpochs {
		return CommitLease
	}
	return FirstCommitLease
}

// LeaseLimit returns the end of the longest lease that an owner may give, whose last applied
// commit began at committed. rosterEpochs is set once its row, as applied, says that the roster
// tells the epochs. Most workers accepted its orders at accepted, 0 if that isn't known.
func LeaseLimit(committed time.Duration, rosterEpochs bool, accepted time.Duration) time.Duration {
	limit := committed + commitLease(rosterEpochs)
	if accepted > 0 {
		limit = max(limit, accepted+MajorityLease)
	}
	return limit
}

// leasesEnd returns when all leases are over of an owner that kept to LeaseLimit, whose last
// commit began by committed, and whose orders most workers refused from accepted on. Clocks of
// the owner and of its workers may be slow.
func leasesEnd(committed time.Duration, rosterEpochs bool, accepted time.Duration) time.Duration {
	return max(committed+withDrift(commitLease(rosterEpochs)), accepted+withDrift(MajorityLease)) + leaseMargin
}

// BoundByMajority returns the epochs of the owners that give no orders once most workers of the
// roster refuse them that the row's owner has left: the row's owner, and those before it that
// knew the same workers.
func (r *Record) BoundByMajority() []uint64 {
	var epochs []uint64
	for _, e := range r.Earlier {
		if e.LimitsLeases && r.RosterOf != 0 && e.Epoch >= r.RosterOf {
			epochs = append(epochs, e.Epoch)
		}
	}
	if r.NeedsMajority {
		epochs = append(epochs, r.Epoch)
	}
	return epochs
}
