package election

import (
	"sync"
	"time"
)

const (
	// LockTTL is how long a host holds an AdvisoryLock after its last request.
	LockTTL = time.Second
	// LockRenewInterval is the interval at which the holder renews the lock.
	LockRenewInterval = LockTTL / 3
	// LockRetryInterval is the time after which a host that didn't get the lock asks again.
	LockRetryInterval = 400 * time.Millisecond
	// maxLockHold is the longest time that a host holds the lock for one version of the
	// row. It exceeds a commit that is repeated on a table service that answers slowly.
	maxLockHold = 10 * time.Second
)

// LockRequest asks for an AdvisoryLock, renews it or, with Release, gives it up.
type LockRequest struct {
	// Incarnation identifies the process that asks.
	Incarnation string `msgpack:"i"`
	// Version is the version of the owner's row that the process wants to replace.
	Version uint64 `msgpack:"v"`
	Release bool   `msgpack:"r,omitempty"`
}

// AdvisoryLock keeps hosts from trying to acquire a domain at the same time. A host
// keeps it in memory for others. It doesn't decide who owns the domain, which the
// condition on the owner's row does: it keeps the number of transactions low that wait
// in the table service, which executes those on one row one after another. Times are
// readings of one monotonic clock. It is safe for concurrent use.
type AdvisoryLock struct {
	mu sync.Mutex
	// holder is the incarnation of the holder, empty if there is none.
	holder  string
	version uint64
	// heldSince is when the holder got the lock, renewedAt when it last asked for it.
	heldSince, renewedAt time.Duration
	// timedOut is the last holder that reached maxLockHold, at timedOutAt. Others go first.
	timedOut   string
	timedOutAt time.Duration
}

// Handle handles a request and reports whether the process holds the lock afterwards. A
// request for a newer version of the row takes the lock over, since attempts on an
// earlier version can't succeed any more.
func (l *AdvisoryLock) Handle(r LockRequest, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.renewedAt >= LockTTL || r.Version > l.version {
		l.holder = ""
	}
	switch {
	case r.Release:
		if l.holder == r.Incarnation {
			l.holder = ""
		}
		return false
	case l.holder == "" && l.timedOut == r.Incarnation && now-l.timedOutAt < LockTTL:
		return false
	case l.holder == "":
		l.holder, l.version, l.heldSince = r.Incarnation, r.Version, now
	case l.holder != r.Incarnation || l.version != r.Version:
		return false
	case now-l.heldSince >= maxLockHold:
		l.holder, l.timedOut, l.timedOutAt = "", r.Incarnation, now
		return false
	}
	l.renewedAt = now
	return true
}
