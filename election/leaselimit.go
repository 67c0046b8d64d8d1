package election

import "time"

// An owner gives leases on the proof that nobody had replaced it at some time: the start of
// its last applied commit, or a time at which most workers still accepted its orders. The
// limits bound how long after that time a lease may last, so that a successor knows until
// when it has to wait for workers that don't answer, whatever became of the owner.
const (
	// Lease is the longest lease: long enough for a takeover, and so short that the tasks of a
	// worker that is lost together with the owner run again within 6 s.
	Lease = 4800 * time.Millisecond
	// CommitLease limits leases that rest on the last applied commit: a full lease, given
	// as long after the commit's start as the next one usually begins.
	CommitLease = Lease + 400*time.Millisecond
	// FirstCommitLease replaces it until the owner's row says that the roster tells the epochs:
	// by then a successor counts a worker that this owner hasn't reached as one that it has
	// just given a lease.
	FirstCommitLease = CommitLease - firstCommitDeduction
	// MajorityLease limits leases that rest on the acceptance of orders by most workers. It
	// spans several of the short polls of an owner that can't commit, and ends no later than
	// CommitLease does at an owner that is replaced at once.
	MajorityLease = 3600 * time.Millisecond
)

// firstCommitDeduction is how much shorter than CommitLease FirstCommitLease is.
const firstCommitDeduction = time.Second

// LeaseLimits are the limits to which an owner keeps, in milliseconds.
type LeaseLimits struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	// LeaseMS is the longest lease, CommitMS that of CommitLease and MajorityMS that of
	// MajorityLease.
	LeaseMS, CommitMS, MajorityMS int64
}

// ownLimits are the limits of this release, unstatedLimits those of releases whose rows don't tell
// them.
var (
	ownLimits      = LeaseLimits{LeaseMS: Lease.Milliseconds(), CommitMS: CommitLease.Milliseconds(), MajorityMS: MajorityLease.Milliseconds()}
	unstatedLimits = LeaseLimits{LeaseMS: 6000, CommitMS: 6400, MajorityMS: 4500}
)

// stated returns the limits that a row tells, or those of releases whose rows don't.
func (l *LeaseLimits) stated() *LeaseLimits {
	if l == nil {
		return &unstatedLimits
	}
	return l
}

// leaseMargin covers clocks rounded to milliseconds and late timers of workers.
const leaseMargin = 100 * time.Millisecond

// LongestLease returns the longest lease that the owner gave.
func (e *EarlierOwner) LongestLease() time.Duration {
	return time.Duration(e.Limits.stated().LeaseMS) * time.Millisecond
}

// commitLease returns the limit of leases that rest on the last applied commit. rosterEpochs
// tells whether the owner's row has said that the roster tells the epochs.
func (l *LeaseLimits) commitLease(rosterEpochs bool) time.Duration {
	limit := time.Duration(l.CommitMS) * time.Millisecond
	if !rosterEpochs {
		limit -= firstCommitDeduction
	}
	return limit
}

// majorityLease returns the limit of leases that rest on the acceptance by most workers.
func (l *LeaseLimits) majorityLease() time.Duration {
	return time.Duration(l.MajorityMS) * time.Millisecond
}

// LeaseLimit returns the end of the longest lease that an owner may give, whose last applied
// commit began at committed. rosterEpochs is set once its row, as applied, says that the roster
// tells the epochs. Most workers accepted its orders at accepted, 0 if that isn't known.
func LeaseLimit(committed time.Duration, rosterEpochs bool, accepted time.Duration) time.Duration {
	limit := committed + ownLimits.commitLease(rosterEpochs)
	if accepted > 0 {
		limit = max(limit, accepted+ownLimits.majorityLease())
	}
	return limit
}

// leasesEnd returns when all leases are over of an owner that kept to the limits, whose last
// commit began by committed, and whose orders most workers refused from accepted on. Clocks of
// the owner and of its workers may be slow.
func (l *LeaseLimits) leasesEnd(committed time.Duration, rosterEpochs bool, accepted time.Duration) time.Duration {
	return max(committed+withDrift(l.commitLease(rosterEpochs)), accepted+withDrift(l.majorityLease())) + leaseMargin
}

// MajorityBound is an earlier owner that gives no orders once its workers can't be most of those on
// the roster that it has left.
type MajorityBound struct {
	Epoch uint64
	// Workers is the size of that roster, 0 if it is the one that the row's owner has left, and
	// Removed the number of workers removed from the roster since, which may still obey it.
	Workers, Removed int
}

// BoundByMajority returns the owners that give no orders without most workers of their roster: the
// row's owner, those before it that knew the same workers, and those of which the size of the roster
// is known.
func (r *Record) BoundByMajority() []MajorityBound {
	var bounds []MajorityBound
	for _, e := range r.Earlier {
		switch {
		case !e.LimitsLeases:
		case r.RosterOf != 0 && e.Epoch >= r.RosterOf:
			bounds = append(bounds, MajorityBound{Epoch: e.Epoch})
		case e.Workers > 0:
			bounds = append(bounds, MajorityBound{Epoch: e.Epoch, Workers: e.Workers, Removed: e.Removed})
		}
	}
	if r.NeedsMajority {
		bounds = append(bounds, MajorityBound{Epoch: r.Epoch})
	}
	return bounds
}
