package ownership

import (
	"slices"
	"time"
)

// maybeMove starts to move a shard: to the preferred host once that is stable,
// or to any host during a planned stop. It returns the number of moves started,
// 0 or 1.
func (m *Machine) maybeMove(now time.Time, s *shardState, moves int) int {
	if s.commit != 0 || m.excluded() {
		return 0
	}
	to := ""
	if m.stopping {
		if !m.session.stopRecorded || moves >= m.maxStopMoves || m.awaitingRecipients(now) {
			return 0
		}
		to = m.recipient(now, s)
	} else {
		if moves >= maxMoves || !s.inUse || s.row.Unconfirmed != nil {
			return 0
		}
		if !m.sessionLive(now) || !m.verified(s) {
			return 0
		}
		to = m.preferredOwner(now, s)
		if to == "" {
			return 0
		}
	}
	s.move = &move{to: to, drained: s.usedEpoch == 0}
	m.emit(Report{Kind: ShardMoving, Shard: s.name, Epoch: s.row.Epoch, Host: to})
	if !s.move.drained {
		s.drainRequested = s.usedEpoch
		m.emit(Drain{Shard: s.name, Epoch: s.usedEpoch})
	}
	if m.flaws.noDrainOnMove {
		s.move.drained = true
	}
	return 1
}

// awaitingRecipients reports whether the sessions of possible recipients are
// still being read, for at most one session.
func (m *Machine) awaitingRecipients(now time.Time) bool {
	return m.read.full && now.Sub(m.stoppingAt) < m.cfg.Lease.Session.D()
}

// preferredOwner returns the shard's preferred host if that is another host and
// has been available for some time; empty otherwise.
func (m *Machine) preferredOwner(now time.Time, s *shardState) string {
	order := m.roster.PreferredOwners(s.name)
	if len(order) == 0 || order[0] == m.cfg.Host {
		return ""
	}
	o := m.sessions[order[0]]
	// A host that gave the shard away isn't preferred until it has renewed its
	// session since then without announcing a planned stop.
	if o == nil || o.version < s.version || now.Sub(o.incarnationSince) < 2*m.cfg.Lease.Session.D() || !m.recentlyRenewed(now, order[0]) {
		return ""
	}
	return order[0]
}

// recipient returns the host that gets a shard during a planned stop: the most
// preferred live host, else a live named successor, else none.
func (m *Machine) recipient(now time.Time, s *shardState) string {
	for _, h := range slices.Concat(m.roster.PreferredOwners(s.name), s.row.Successors) {
		if h != m.cfg.Host && m.roster.LiveHost(h) && m.recentlyRenewed(now, h) {
			return h
		}
	}
	return ""
}

// recentlyRenewed reports whether a host's session was seen to be renewed
// within one session.
func (m *Machine) recentlyRenewed(now time.Time, host string) bool {
	o := m.sessions[host]
	return o != nil && !o.stopping && o.version != 0 && o.incarnation != "" && now.Sub(o.versionSince) < m.cfg.Lease.Session.D()
}

// release writes the row of a drained shard for its next owner.
func (m *Machine) release(now time.Time, s *shardState) {
	if !s.move.drained || s.commit != 0 || m.excluded() {
		return
	}
	if !m.sessionLive(now) {
		if !m.stopping && !s.move.maybeReleased {
			m.cancelMove(s)
		}
		return
	}
	if !m.verified(s) || !m.mayWrite(now, s) {
		return
	}
	if s.move.maybeReleased && !s.readSentAt.After(s.lastWriteAt) {
		// The row must be read before the release is sent again.
		return
	}
	if m.stopping {
		s.move.to = m.recipient(now, s)
	} else if !m.recentlyRenewed(now, s.move.to) {
		if !s.move.maybeReleased {
			m.cancelMove(s)
		}
		return
	}
	m.writeShard(now, s, commitRelease, m.releaseRow(now, s))
}

// releaseRow returns the row that gives a drained shard to its next owner.
func (m *Machine) releaseRow(now time.Time, s *shardState) ShardRow {
	row := ShardRow{
		Epoch: s.row.Epoch + 1,
		// Requests of an earlier owner may still be in flight.
		Seized: s.row.Seized && now.Before(s.usableFrom),
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

// cancelMove cancels a move whose release was not written. startUse starts the
// use of the shard again once its conditions are met.
func (m *Machine) cancelMove(s *shardState) {
	s.move = nil
	s.inUse = false
}

// movesInFlight counts the moves that have not completed.
func (m *Machine) movesInFlight() int {
	n := 0
	for _, s := range m.shards {
		if s.move != nil {
			n++
		}
	}
	return n
}
