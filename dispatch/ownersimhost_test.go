package dispatch_test

import "time"

// restartTime is how long a killed host's process is away.
const restartTime = 500 * time.Millisecond

// simHost is a host that may own the domain. Its process has incarnations without a
// common memory.
type simHost struct {
	name        string
	incarnation int
	// owner is the owner that the host runs, nil if none.
	owner *simOwner
	// frozenUntil is when a frozen process goes on, downUntil when a killed one is back,
	// and the others when a cut link works again.
	frozenUntil, downUntil, cutFromStoreUntil, cutFromPeersUntil time.Time
	// startsLateBy is how late the start orders of the host arrive, zero unless they are
	// delayed.
	startsLateBy time.Duration
	// gone is set once the host never comes back.
	gone bool
	// cutFromWorkersUntil holds, by worker, when a cut link works again.
	cutFromWorkersUntil map[string]time.Time
	// seenVersion is the version of the owner's row that the host last read, seenSince
	// when it first read that version, zero if it hasn't read the row.
	seenVersion uint64
	seenSince   time.Time
	// heardEpoch is the latest epoch of which the host was notified.
	heardEpoch uint64
	// acquiring is set while a commit that acquires the domain is in flight.
	acquiring bool
}

// alive reports whether the host's process exists.
func (h *simHost) alive(now time.Time) bool { return !h.gone && !now.Before(h.downUntil) }

// awake reports whether the host's process runs.
func (h *simHost) awake(now time.Time) bool { return h.alive(now) && !now.Before(h.frozenUntil) }

// reachesStore reports whether the host's link to the store works.
func (h *simHost) reachesStore(now time.Time) bool { return !now.Before(h.cutFromStoreUntil) }

// reachesPeer reports whether the link between two hosts works.
func (h *simHost) reachesPeer(now time.Time, other *simHost) bool {
	return !now.Before(h.cutFromPeersUntil) && !now.Before(other.cutFromPeersUntil)
}

// reachesWorker reports whether the host's link to a worker works.
func (h *simHost) reachesWorker(now time.Time, id string) bool {
	return !now.Before(h.cutFromWorkersUntil[id])
}

// terminate ends the process with all it knew, and its owner.
func (h *simHost) terminate() {
	if h.owner != nil {
		h.owner.ended = true
	}
	h.heardEpoch = 0
	h.owner, h.acquiring, h.seenSince, h.frozenUntil = nil, false, time.Time{}, time.Time{}
	h.incarnation++
}

// kill terminates the process; a new incarnation follows after restartTime.
func (h *simHost) kill(now time.Time) {
	h.terminate()
	h.downUntil = now.Add(restartTime)
}

// remove terminates the process for good.
func (h *simHost) remove() {
	h.terminate()
	h.gone = true
}

// restoreLinks makes all links of the host work again.
func (h *simHost) restoreLinks(now time.Time) {
	h.cutFromStoreUntil, h.cutFromPeersUntil = now, now
	clear(h.cutFromWorkersUntil)
}
