package election

import (
	"slices"
	"sync"
	"time"
)

// EarlierOwners tracks the owners before the current one that may still give
// orders. Times are readings of one clock that also counts while the process
// stands still. EarlierOwners is safe for concurrent use.
type EarlierOwners struct {
	mu      sync.Mutex
	pending []pendingOwner
}

// pendingOwner is an owner that may give orders until a time.
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

// Pending returns the owners that may still give orders, with the time that each
// has left.
func (e *EarlierOwners) Pending(now time.Duration) []EarlierOwner {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []EarlierOwner
	for _, p := range e.pending {
		if p.until > now {
			p.OrdersMS = (p.until - now).Milliseconds() + 1 // rounded up
			all = append(all, p.EarlierOwner)
		}
	}
	return all
}

// Stopped records that the owner of an epoch gives no more orders. It returns
// false if that was known.
func (e *EarlierOwners) Stopped(epoch uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := len(e.pending)
	e.pending = slices.DeleteFunc(e.pending, func(p pendingOwner) bool { return p.Epoch == epoch })
	return len(e.pending) < before
}

// OrdersEnd returns the time until which any of the owners may give orders, at
// least now.
func (e *EarlierOwners) OrdersEnd(now time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	end := now
	for _, p := range e.pending {
		end = max(end, p.until)
	}
	return end
}
