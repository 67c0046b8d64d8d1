package ownership

import (
	"slices"
	"time"
)

// previousCleared reports whether no previous owner may still use its half of
// the shard.
func (m *Machine) previousCleared(now time.Time, s *shardState) bool {
	u := s.row.Unconfirmed
	if u == nil || s.previousStopped == s.row.Epoch {
		return true
	}
	if u.Host == m.cfg.Host {
		return m.stoppedSelf(now, s, *u, s.row.Epoch)
	}
	if since, isDropped := m.dropped(now, *u); isDropped && now.Sub(since) >= m.drainedAfterDrop(*u, u.MaxRun) {
		return true
	}
	o := m.sessions[u.Host]
	return o != nil && o.supersedes(*u, s.version) && now.Sub(o.incarnationSince) >= m.drainTimeOf(u.MaxRun)
}

// drainedAfterDrop is the time after the list has dropped a host until no
// request is in flight that was sent before the host stopped and runs for maxRun
// at the most. The host may continue until it reads the list: one session covers
// the list's lag and another one a pause that the host doesn't detect.
func (m *Machine) drainedAfterDrop(h Holder, maxRun time.Duration) time.Duration {
	return m.dropWait(h) + m.drainTimeOf(maxRun)
}

// stoppedSelf reports whether the given process of this host has nothing in
// flight under an epoch lower than epoch.
func (m *Machine) stoppedSelf(now time.Time, s *shardState, h Holder, epoch uint64) bool {
	if h.Incarnation == m.cfg.Incarnation {
		return s.usedEpoch == 0 || s.usedEpoch >= epoch
	}
	return m.sessionLive(now) && now.Sub(m.started) >= m.drainTimeOf(h.MaxRun)
}

// askPrevious asks the unconfirmed previous owner whether it has stopped.
func (m *Machine) askPrevious(now time.Time, s *shardState) {
	u := s.row.Unconfirmed
	if u == nil || u.Host == m.cfg.Host {
		return
	}
	if !s.stoppedAskedAt.IsZero() && now.Sub(s.stoppedAskedAt) < m.cfg.renew() {
		return
	}
	s.stoppedAskedAt = now
	request := StoppedRequest{Shard: s.name, Epoch: s.row.Epoch, Previous: *u}
	id := m.newID()
	m.asks[id] = pendingAsk{sentAt: now, host: u.Host, stopped: &request}
	m.emit(AskStopped{ID: id, Host: u.Host, Request: request})
}

// StoppedReplied handles a reply to AskStopped.
func (m *Machine) StoppedReplied(now time.Time, id uint64, reply StoppedReply) []Action {
	ask, ok := m.asks[id]
	delete(m.asks, id)
	if !ok || ask.stopped == nil || !reply.Stopped {
		return m.step(now)
	}
	s := m.shard(ask.stopped.Shard)
	if s.row.Epoch == ask.stopped.Epoch && s.previousStopped != s.row.Epoch {
		s.previousStopped = s.row.Epoch
		m.emit(Report{Kind: ShardConfirmed, Shard: s.name, Epoch: s.row.Epoch, Host: ask.host})
	}
	return m.step(now)
}

// StoppedAsked handles a peer's StoppedRequest and returns the reply.
func (m *Machine) StoppedAsked(now time.Time, req StoppedRequest) (StoppedReply, []Action) {
	s := m.shard(req.Shard)
	m.recordSuccessor(s, req.Epoch)
	actions := m.step(now)
	stopped := req.Previous.Host == m.cfg.Host && m.stoppedSelf(now, s, req.Previous, req.Epoch)
	return StoppedReply{Stopped: stopped}, actions
}

// recordSuccessor records that the shard has an owner with this epoch or a
// later one: lower epochs must not be used any more. It requests a read of the
// shard's row if the known row has a lower epoch.
func (m *Machine) recordSuccessor(s *shardState, epoch uint64) {
	if epoch > s.row.Epoch {
		m.requestRead(s)
	}
	s.minUsableEpoch = max(s.minUsableEpoch, epoch)
}

// confirm updates the row of a shard that this host owns: it removes the
// previous owner once that owner has stopped, and replaces successors that are
// no longer available. While the previous owner may still use the shard, confirm
// asks it whether it has stopped.
func (m *Machine) confirm(now time.Time, s *shardState) {
	cleared := m.previousCleared(now, s)
	if !cleared {
		m.askPrevious(now, s)
	}
	if s.commit != 0 || s.move != nil || m.excluded() || !m.sessionLive(now) || !m.verified(s) || !m.mayWrite(now, s) {
		return
	}
	confirmed := cleared && s.row.Unconfirmed != nil
	if !confirmed && !m.lacksSuccessors(s) {
		return
	}
	row := s.row
	row.Successors = m.successors(s, m.cfg.Host)
	if cleared {
		row.Unconfirmed = nil
	}
	for _, h := range row.Successors {
		if !slices.Contains(s.pendingSuccessors, h) {
			s.pendingSuccessors = append(s.pendingSuccessors, h)
		}
	}
	m.writeShard(now, s, commitRewrite, row)
}

// lacksSuccessors reports whether a named successor is no longer live, or more
// successors could be named.
func (m *Machine) lacksSuccessors(s *shardState) bool {
	if !m.roster.LiveHost(m.cfg.Host) {
		return false
	}
	for _, h := range s.row.Successors {
		if !m.roster.LiveHost(h) {
			return true
		}
	}
	return len(s.row.Successors) < min(m.cfg.Lease.Successors, len(m.roster.LiveHosts())-1)
}

// stopIfLost requests the drain of a shard that may no longer be used.
func (m *Machine) stopIfLost(s *shardState) {
	if s.usedEpoch == 0 || s.drainRequested == s.usedEpoch {
		return
	}
	if m.owns(s) && s.row.Epoch == s.usedEpoch && s.row.Epoch >= s.minUsableEpoch && !m.excluded() {
		return
	}
	s.drainRequested = s.usedEpoch
	m.emit(Report{Kind: ShardLost, Shard: s.name, Epoch: s.usedEpoch, Host: s.row.Owner.Host})
	m.emit(Drain{Shard: s.name, Epoch: s.usedEpoch})
}

// Drained handles the completion of a Drain: no request is in flight under this
// epoch or a lower one. It ends the use of the shard, and permits the release of
// a shard that is being moved.
func (m *Machine) Drained(now time.Time, shard string, epoch uint64) []Action {
	s := m.shard(shard)
	if s.usedEpoch <= epoch {
		s.usedEpoch = 0
		s.inUse = false
	}
	if s.move != nil && s.row.Epoch == epoch {
		s.move.drained = true
	}
	return m.step(now)
}
