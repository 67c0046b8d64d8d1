package ownership

import (
	"slices"
	"time"
)

// previousCleared reports whether a shard has no previous owner that may still
// use its half.
func (m *Machine) previousCleared(now time.Time, s *shardState) bool {
	u := s.row.Unconfirmed
	if u == nil || s.previousStopped == s.row.Epoch {
		return true
	}
	if u.Host == m.cfg.Host {
		return m.stoppedSelf(now, s, *u, s.row.Epoch)
	}
	if since, gone := m.dropped(now, *u); gone && now.Sub(since) >= m.goneAfter(*u) {
		return true
	}
	o := m.sessions[u.Host]
	return o != nil && o.supersedes(*u, s.version) && now.Sub(o.incarnationSince) >= m.drainedOf(u.MaxRun)
}

// goneAfter is how long after the list has dropped a host nothing of it is in
// flight any more. It may run on until it reads the list itself: a session is
// allowed for the list's lag, and one for a pause that it takes no notice of.
func (m *Machine) goneAfter(h Holder) time.Duration {
	return m.forgotten(h) + m.drainedOf(h.MaxRun)
}

// stoppedSelf reports whether a process of this host has nothing in flight
// under an epoch below the one given.
func (m *Machine) stoppedSelf(now time.Time, s *shardState, h Holder, epoch uint64) bool {
	if h.Incarnation == m.cfg.Incarnation {
		return s.usedEpoch == 0 || s.usedEpoch >= epoch
	}
	return m.sessionLive(now) && now.Sub(m.started) >= m.drainedOf(h.MaxRun)
}

// askPrevious asks the unconfirmed previous owner whether it has stopped.
func (m *Machine) askPrevious(now time.Time, s *shardState) {
	u := s.row.Unconfirmed
	if u == nil || u.Host == m.cfg.Host {
		return
	}
	if !s.askedStopped.IsZero() && now.Sub(s.askedStopped) < m.cfg.renew() {
		return
	}
	s.askedStopped = now
	request := StoppedRequest{Shard: s.name, Epoch: s.row.Epoch, Previous: *u}
	id := m.newID()
	m.asks[id] = pendingAsk{sentAt: now, host: u.Host, stopped: &request}
	m.emit(AskStopped{ID: id, Host: u.Host, Request: request})
}

// StoppedReplied takes a reply to AskStopped in.
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

// StoppedAsked answers a peer's StoppedRequest.
func (m *Machine) StoppedAsked(now time.Time, req StoppedRequest) (StoppedReply, []Action) {
	s := m.shard(req.Shard)
	m.succeeded(s, req.Epoch)
	actions := m.step(now)
	stopped := req.Previous.Host == m.cfg.Host && m.stoppedSelf(now, s, req.Previous, req.Epoch)
	return StoppedReply{Stopped: stopped}, actions
}

// succeeded takes in that a shard has an owner of this epoch or a later one.
func (m *Machine) succeeded(s *shardState, epoch uint64) {
	if epoch > s.row.Epoch {
		m.look(s)
	}
	s.stoppedBelow = max(s.stoppedBelow, epoch)
}

// confirm clears the previous owner from the row of a shard that this host
// owns, once it has stopped, and keeps living successors named in it.
func (m *Machine) confirm(now time.Time, s *shardState) {
	cleared := m.previousCleared(now, s)
	if !cleared {
		m.askPrevious(now, s)
	}
	if s.commit != 0 || s.move != nil || m.excluded() || !m.sessionLive(now) || !m.verified(s) || !m.mayTry(now, s) {
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
		if !slices.Contains(s.renamed, h) {
			s.renamed = append(s.renamed, h)
		}
	}
	m.writeShard(now, s, commitRewrite, row)
}

// lacksSuccessors reports whether a successor named in the row is gone, or
// more could be named.
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

// stopIfLost asks for a shard to be drained once it may no longer be used.
func (m *Machine) stopIfLost(s *shardState) {
	if s.usedEpoch == 0 || s.drainAsked == s.usedEpoch {
		return
	}
	if m.mine(s) && s.row.Epoch == s.usedEpoch && s.row.Epoch >= s.stoppedBelow && !m.excluded() {
		return
	}
	s.drainAsked = s.usedEpoch
	m.emit(Report{Kind: ShardLost, Shard: s.name, Epoch: s.usedEpoch, Host: s.row.Owner.Host})
	m.emit(Drain{Shard: s.name, Epoch: s.usedEpoch})
}

// Drained takes in that nothing is in flight any more under a shard.
func (m *Machine) Drained(now time.Time, shard string, epoch uint64) []Action {
	s := m.shard(shard)
	if s.usedEpoch <= epoch {
		s.usedEpoch = 0
		s.begun = false
	}
	if s.move != nil && s.row.Epoch == epoch {
		s.move.drained = true
	}
	return m.step(now)
}
