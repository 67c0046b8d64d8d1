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
}

// NewEarlierOwners returns the earlier owners that a row lists whose commit was
// applied before now.
func NewEarlierOwners(row *Record, now time.Duration) *EarlierOwners {
	e := &EarlierOwners{}
	for _, o := range row.Earlier {
		e.pending = append(e.pending, pendingOwner{o, now + time.Duration(o.OrdersMS)*time.Millisecond})
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
		if left <= -leaseRetention {
			continue
		}
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
			return true
		}
	}
	return false
}

// ReplacedAtMajority records that more than half of the workers of an owner's roster have
// accepted orders of its successor by now. As they refuse the owner's orders from then on, it
// gives none after AcceptanceWindow if it needs a majority. It returns whether that is sooner
// than what was known.
func (e *EarlierOwners) ReplacedAtMajority(epoch uint64, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	until := now + withDrift(max(AcceptanceWindow, MinorityValidity)) + acceptanceSlack
	for i := range e.pending {
		if p := &e.pending[i]; p.Epoch == epoch && p.until > until {
			p.until = until
			return true
		}
	}
	return false
}
