package dispatch_test

import (
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

// relistTime is the time within which a live worker that reaches the store is listed
// again after its entry has lapsed.
const relistTime = 2 * time.Second

// simMembers is the membership list. An entry lapses listLag after its worker last
// reached the store.
type simMembers struct {
	entries map[string]*memberEntry
}

// memberEntry is the list's knowledge of one worker.
type memberEntry struct {
	// renewedAt is when its worker last reached the store; the entry is listed while
	// listed is set.
	renewedAt time.Time
	listed    bool
	// relistAt is when a lapsed entry is listed again, zero unless its worker reaches
	// the store; cutUntil is when the worker's link to the store works again.
	relistAt, cutUntil time.Time
}

// entry returns the entry of a worker, a listed one for a new worker.
func (m *simMembers) entry(id string, now time.Time) *memberEntry {
	e := m.entries[id]
	if e == nil {
		e = &memberEntry{listed: true, renewedAt: now}
		m.entries[id] = e
	}
	return e
}

// updateMemberEntries lets the workers renew their entries.
func (s *ownerSim) updateMemberEntries() {
	for _, w := range s.workers {
		e := s.members.entry(w.info.ID, s.now)
		reaches := w.terminatedAt.IsZero() && s.storeUp() && !s.now.Before(e.cutUntil)
		if w.returning.entry != nil && !s.now.Before(w.returning.writesAt) && reaches {
			w.returning.entry = nil
		}
		reaches = reaches && w.returning.entry == nil
		switch {
		case !reaches:
			e.relistAt = time.Time{}
			e.listed = e.listed && s.now.Sub(e.renewedAt) < listLag
		case e.listed:
			e.renewedAt = s.now
		case e.relistAt.IsZero():
			e.relistAt = s.now.Add(s.between(0, relistTime))
		case !s.now.Before(e.relistAt):
			e.listed, e.renewedAt, e.relistAt = true, s.now, time.Time{}
		}
	}
}

// list returns the membership list.
func (m *simMembers) list(now time.Time, workers []*faultWorker) []runner.Worker {
	var list []runner.Worker
	for _, w := range workers {
		if !m.entry(w.info.ID, now).listed {
			continue
		}
		info := w.entry()
		if !w.leavesAt.IsZero() {
			info.Draining, info.LeavesIn = true, max(w.leavesAt.Sub(now), 0)
		}
		list = append(list, info)
	}
	return list
}
