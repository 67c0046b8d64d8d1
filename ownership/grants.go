package ownership

import (
	"maps"
	"time"
)

// Snapshot returns the newest snapshot for the traffic path.
func (m *Machine) Snapshot() *Snapshot { return m.snapshot }

// publish creates a new snapshot if its content has changed.
func (m *Machine) publish(now time.Time) {
	next := Snapshot{Grants: map[string]Grant{}, Owners: map[string]string{}}
	for _, name := range m.sortedShards {
		s := m.shards[name]
		if g, ok := m.grant(now, s); ok {
			next.Grants[name] = g
		}
		if owner := s.owner(); owner != "" {
			next.Owners[name] = owner
		}
	}
	if maps.Equal(next.Grants, m.snapshot.Grants) && maps.Equal(next.Owners, m.snapshot.Owners) {
		return
	}
	m.snapshot = &next
}

// startUse starts the use of an owned shard once all conditions are met.
func (m *Machine) startUse(now time.Time, s *shardState) {
	if s.inUse || s.move != nil || now.Before(s.usableFrom) {
		return
	}
	if m.stopping || m.excluded() || s.row.Epoch < s.minUsableEpoch {
		return
	}
	if !m.sessionLive(now) || !m.verified(s) {
		return
	}
	s.inUse = true
	s.usedEpoch = s.row.Epoch
	s.drainRequested = 0
}

// grant returns this host's grant of a shard; false if there is none.
func (m *Machine) grant(now time.Time, s *shardState) (Grant, bool) {
	if !m.owns(s) || !s.inUse || s.move != nil || m.excluded() || s.row.Epoch < s.minUsableEpoch {
		return Grant{}, false
	}
	g := Grant{Shard: s.name, Epoch: s.row.Epoch, Version: s.version}
	if !s.endpoint {
		return m.workerGrant(now, s, g)
	}
	g.Share = Half
	g.ShareAfter = Half
	g.AfterUntil = m.activeUntil
	if m.flaws.noHalfShare {
		g.Share, g.ShareAfter = Full, Full
	}
	if !m.previousCleared(now, s) {
		return g, true
	}
	if until := m.fullUntil(now, s); now.Before(until) {
		g.Share = Full
		g.Until = until
	}
	return g, true
}

// workerGrant completes the grant of a worker shard: the full share while no
// other host can succeed this one, nothing afterwards.
func (m *Machine) workerGrant(now time.Time, s *shardState, g Grant) (Grant, bool) {
	until := m.fullUntil(now, s)
	if !now.Before(until) {
		return Grant{}, false
	}
	g.Share = Full
	g.Until = until
	return g, true
}

// fullUntil returns the time until which no other host can succeed this one as
// the shard's owner, because of the session or because of the promises of all
// possible successors.
func (m *Machine) fullUntil(now time.Time, s *shardState) time.Time {
	var until time.Time
	if m.verified(s) {
		until = m.session.liveUntil
	}
	if promised := m.promisedUntil(now, s); promised.After(until) {
		until = promised
	}
	return until
}

// promisedUntil returns the time until which all possible successors have
// promised not to claim the shard. Without a named successor, another host can
// take over only after the membership list has dropped this one.
func (m *Machine) promisedUntil(now time.Time, s *shardState) time.Time {
	hosts := s.possibleSuccessors()
	if len(hosts) == 0 && !m.verified(s) {
		return time.Time{}
	}
	until := now.Add(m.cfg.Lease.Session.D())
	for _, h := range hosts {
		if p := s.promised[h]; p.Before(until) {
			until = p
		}
	}
	return until
}
