package election

import (
	"sync"
	"time"
)

// EarlierOwners tracks until when the owners before the current one may give orders.
// Times are readings of one clock that also counts while the process
// stands still. EarlierOwners is safe for concurrent use.
type EarlierOwners struct {
	mu      sync.Mutex
	pending []pendingOwner
}

// pendingOwner is an owner that gives no orders after a time.
type pendingOwner struct {
	EarlierOwner
	until time.Duration
	// committed is the latest time at which its last commit can have begun, leases when its
	// last lease is over, 0 if unknown.
	committed, leases time.Duration
}

// limitLeases records that most workers have refused the owner's orders since a time at the
// latest, or that it has given none since. It returns whether its leases are known to be over
// sooner than before.
func (p *pendingOwner) limitLeases(since time.Duration) bool {
	if !p.LimitsLeases {
		return false
	}
	end := p.Limits.stated().leasesEnd(p.committed, p.RosterEpochs, since)
	if p.leases != 0 && p.leases <= end {
		return false
	}
	p.leases = end
	return true
}

// NewEarlierOwners returns the earlier owners that a row lists whose commit was
// applied before now.
func NewEarlierOwners(row *Record, now time.Duration) *EarlierOwners {
	e := &EarlierOwners{}
	for _, o := range row.Earlier {
		p := pendingOwner{EarlierOwner: o, until: now + time.Duration(o.OrdersMS)*time.Millisecond}
		p.committed = now - time.Duration(o.CommitAgeMS)*time.Millisecond
		if o.LeasesMS != 0 {
			p.leases = now + time.Duration(o.LeasesMS)*time.Millisecond
		}
		if p.until <= now {
			p.limitLeases(p.until)
		}
		e.pending = append(e.pending, p)
	}
	return e
}

// List returns the owners as a row lists them whose commit begins at now.
func (e *EarlierOwners) List(now time.Duration) []EarlierOwner {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []EarlierOwner
	for _, p := range e.pending {
		left := p.until - now
		if left <= -leaseRetention || (p.leases != 0 && p.leases <= now) {
			continue
		}
		if p.leases != 0 {
			p.LeasesMS = (p.leases - now + time.Millisecond).Milliseconds()
		}
		p.CommitAgeMS = time.Duration(float64(now-p.committed) * (1 - maxClockDrift)).Milliseconds()
		if left > 0 {
			left += time.Millisecond // rounded up
		} else {
			left = time.Duration(float64(left) * (1 - maxClockDrift))
		}
		p.OrdersMS = left.Milliseconds()
		all = append(all, p.EarlierOwner)
	}
	return all
}

// Stopped records that the owner of an epoch gives no orders after now. It returns
// false if that was known.
func (e *EarlierOwners) Stopped(epoch uint64, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.pending {
		if p := &e.pending[i]; p.Epoch == epoch && p.until > now {
			p.until = now
			p.limitLeases(now)
			return true
		}
	}
	return false
}

// LeftRoster records the size of the roster that the owner of an epoch has left.
func (e *EarlierOwners) LeftRoster(epoch uint64, workers int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.pending {
		if p := &e.pending[i]; p.Epoch == epoch {
			p.Workers, p.Removed = workers, 0
		}
	}
}

// WorkersRemoved records that a commit which lists the owners from now on removes workers from the
// roster.
func (e *EarlierOwners) WorkersRemoved(workers int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.pending {
		e.pending[i].Removed += workers
	}
}

// CommittedBefore records that the last commit of the owner of an epoch began at a time at the
// latest.
func (e *EarlierOwners) CommittedBefore(epoch uint64, at time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.pending {
		p := &e.pending[i]
		if p.Epoch != epoch || p.committed <= at {
			continue
		}
		p.committed = at
		if p.leases != 0 {
			p.limitLeases(p.until)
		}
	}
}

// ReplacedAtMajority records that half of the workers of an owner's roster, or more, have
// accepted orders of its successor by now. As they refuse the owner's orders from then on, it
// gives none after AcceptanceWindow if it needs a majority, and its leases are over by
// LeaseLimit. It returns whether that is sooner than what was known.
func (e *EarlierOwners) ReplacedAtMajority(epoch uint64, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	until := now + withDrift(max(AcceptanceWindow, MinorityValidity)) + acceptanceSlack
	sooner := false
	for i := range e.pending {
		p := &e.pending[i]
		if p.Epoch != epoch {
			continue
		}
		if p.until > until {
			p.until, sooner = until, true
		}
		sooner = p.limitLeases(now) || sooner
	}
	return sooner
}
