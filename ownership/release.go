package ownership

import (
	"slices"
	"time"
)

// considerMove begins to hand a shard over: to the preferred host once that
// has settled, or to anyone on a planned stop. It returns 1 if it did.
func (m *Machine) considerMove(now time.Time, s *shardState, moves int) int {
	if s.commit != 0 || m.excluded() {
		return 0
	}
	to := ""
	if m.stopping {
		if !m.session.stopTold || moves >= m.stopMoves || m.awaitsHeirs(now) {
			return 0
		}
		to = m.heir(now, s)
	} else {
		if moves >= maxMoves || !s.begun || s.row.Unconfirmed != nil {
			return 0
		}
		if !m.sessionLive(now) || !m.verified(s) {
			return 0
		}
		to = m.betterOwner(now, s)
		if to == "" {
			return 0
		}
	}
	s.move = &move{to: to, drained: s.usedEpoch == 0}
	m.emit(Report{Kind: ShardMoving, Shard: s.name, Epoch: s.row.Epoch, Host: to})
	if !s.move.drained {
		s.drainAsked = s.usedEpoch
		m.emit(Drain{Shard: s.name, Epoch: s.usedEpoch})
	}
	if m.flaws.noDrainOnMove {
		s.move.drained = true
	}
	return 1
}

// awaitsHeirs reports whether the sessions of possible heirs are still being
// read, for a bounded time.
func (m *Machine) awaitsHeirs(now time.Time) bool {
	return m.read.full && now.Sub(m.stoppingAt) < m.cfg.Lease.Session.D()
}

// betterOwner returns the preferred host of a shard if it is another one that
// has been there for a while; empty otherwise.
func (m *Machine) betterOwner(now time.Time, s *shardState) string {
	order := m.roster.PreferredOwners(s.name)
	if len(order) == 0 || order[0] == m.cfg.Host {
		return ""
	}
	o := m.sessions[order[0]]
	// A host that gave the shard away is not preferred until it has renewed
	// its session since, without telling of a planned stop.
	if o == nil || o.version < s.version || now.Sub(o.incarnationSince) < 2*m.cfg.Lease.Session.D() || !m.fresh(now, order[0]) {
		return ""
	}
	return order[0]
}

// heir returns who gets a shard on a planned stop: a named successor if one
// lives, so that those who know the shard's endpoints best get it, else the
// most preferred host that lives, else nobody.
func (m *Machine) heir(now time.Time, s *shardState) string {
	for _, h := range slices.Concat(m.roster.PreferredOwners(s.name), s.row.Successors) {
		if h != m.cfg.Host && m.roster.LiveHost(h) && m.fresh(now, h) {
			return h
		}
	}
	return ""
}

// fresh reports whether a host's session was seen to be renewed lately.
func (m *Machine) fresh(now time.Time, host string) bool {
	o := m.sessions[host]
	return o != nil && !o.stopping && o.version != 0 && o.incarnation != "" && now.Sub(o.since) < m.cfg.Lease.Session.D()
}

// release writes the row of a drained shard for its next owner.
func (m *Machine) release(now time.Time, s *shardState) {
	if !s.move.drained || s.commit != 0 || m.excluded() {
		return
	}
	if !m.sessionLive(now) {
		if !m.stopping && !s.move.sent {
			m.keep(s)
		}
		return
	}
	if !m.verified(s) || !m.mayTry(now, s) {
		return
	}
	if s.move.sent && !s.readAt.After(s.triedAt) {
		// The row must be read back before the release is sent again.
		return
	}
	if m.stopping {
		s.move.to = m.heir(now, s)
	} else if !m.fresh(now, s.move.to) {
		if !s.move.sent {
			m.keep(s)
		}
		return
	}
	m.writeShard(now, s, commitRelease, m.bequest(now, s))
}

// bequest returns the row that gives a drained shard to its next owner.
func (m *Machine) bequest(now time.Time, s *shardState) ShardRow {
	row := ShardRow{
		Epoch: s.row.Epoch + 1,
		// What an earlier owner had in flight may not be over yet.
		Seized: s.row.Seized && now.Before(s.startAt),
	}
	if !m.previousCleared(now, s) {
		row.Unconfirmed = s.row.Unconfirmed
	}
	if row.Seized {
		row.MaxRun = s.inFlightBound()
	}
	if s.move.to == "" {
		return row
	}
	to := m.sessions[s.move.to]
	row.Owner = Holder{
		Host:        s.move.to,
		Incarnation: to.incarnation,
		Revision:    m.roster.Revision(),
		Bounds:      to.bounds,
	}
	row.Successors = m.successors(s, s.move.to)
	return row
}

// keep gives a move up that was not written; the shard is used again.
func (m *Machine) keep(s *shardState) {
	s.move = nil
	s.begun = false
}

// movesUnderWay counts the moves begun and not ended.
func (m *Machine) movesUnderWay() int {
	n := 0
	for _, s := range m.shards {
		if s.move != nil {
			n++
		}
	}
	return n
}
