package ownership

import (
	"maps"
	"time"
)

// Snapshot returns the newest snapshot for the traffic path.
func (m *Machine) Snapshot() *Snapshot { return m.view }

// publish makes a new snapshot if anything in it has changed.
func (m *Machine) publish(now time.Time) {
	next := Snapshot{Grants: map[string]Grant{}, Owners: map[string]string{}}
	for _, name := range m.names {
		s := m.shards[name]
		if g, ok := m.grant(now, s); ok {
			next.Grants[name] = g
		}
		if owner := s.owner(); owner != "" {
			next.Owners[name] = owner
		}
	}
	if maps.Equal(next.Grants, m.view.Grants) && maps.Equal(next.Owners, m.view.Owners) {
		return
	}
	m.view = &next
}

// begin starts the use of a shard once nothing stands against it.
func (m *Machine) begin(now time.Time, s *shardState) {
	if s.begun || s.move != nil || now.Before(s.startAt) {
		return
	}
	if m.stopping || m.excluded() || s.row.Epoch < s.stoppedBelow {
		return
	}
	if !m.sessionLive(now) || !m.verified(s) {
		return
	}
	s.begun = true
	s.usedEpoch = s.row.Epoch
	s.drainAsked = 0
}

// grant returns what this host holds of a shard; false for nothing.
func (m *Machine) grant(now time.Time, s *shardState) (Grant, bool) {
	if !m.mine(s) || !s.begun || s.move != nil || m.excluded() || s.row.Epoch < s.stoppedBelow {
		return Grant{}, false
	}
	g := Grant{Shard: s.name, Epoch: s.row.Epoch, Version: s.version}
	if !s.endpoint {
		return m.workerGrant(now, s, g)
	}
	g.Share = Half
	g.ShareAfter = Half
	g.AfterUntil = m.awakeUntil
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

// workerGrant completes the grant of a worker shard: full while nobody can
// succeed this host, nothing after.
func (m *Machine) workerGrant(now time.Time, s *shardState, g Grant) (Grant, bool) {
	until := m.fullUntil(now, s)
	if !now.Before(until) {
		return Grant{}, false
	}
	g.Share = Full
	g.Until = until
	return g, true
}

// fullUntil returns until when nobody can succeed this host on a shard: by its
// session, or by the promises of all who may.
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

// promisedUntil returns until when every successor has promised. With no
// successor named only the membership list's word lets anyone take over.
func (m *Machine) promisedUntil(now time.Time, s *shardState) time.Time {
	hosts := s.mustPromise()
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
