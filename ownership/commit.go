package ownership

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// commitKind is the purpose of a transaction.
type commitKind uint8

const (
	commitSession commitKind = iota + 1
	commitClaim
	commitRelease
	commitRewrite
)

// pendingCommit is a transaction without a result.
type pendingCommit struct {
	kind    commitKind
	sentAt  time.Time
	counter uint64
	shard   string
	row     ShardRow
}

// commit requests a transaction and returns its ID.
func (m *Machine) commit(p pendingCommit, tx infra.Transaction) uint64 {
	id := m.newID()
	m.commits[id] = p
	m.emit(Commit{ID: id, Tx: tx})
	return id
}

// writeShard requests a transaction that replaces the known version of a
// shard's row, under additional conditions.
func (m *Machine) writeShard(now time.Time, s *shardState, kind commitKind, row ShardRow, extra ...infra.Condition) {
	key := ShardKey(s.name)
	s.lastWriteAt = now
	conditions := append([]infra.Condition{{Key: key, Version: s.version}}, extra...)
	s.commit = m.commit(pendingCommit{kind: kind, sentAt: now, shard: s.name, row: row}, infra.Transaction{
		Conditions: conditions,
		Writes:     []infra.Write{{Key: key, Value: encode(row)}},
	})
}

// Committed handles the result of a transaction.
func (m *Machine) Committed(now time.Time, id uint64, result infra.CommitResult) []Action {
	p, ok := m.commits[id]
	if !ok {
		return m.step(now)
	}
	delete(m.commits, id)
	if p.kind == commitSession {
		m.sessionCommitted(now, p, result)
		return m.step(now)
	}
	m.handleShardCommit(now, m.shard(p.shard), p, result)
	return m.step(now)
}

// handleShardCommit handles the result of a write of a shard's row.
func (m *Machine) handleShardCommit(now time.Time, s *shardState, p pendingCommit, result infra.CommitResult) {
	s.commit = 0
	switch result.Status {
	case infra.CommitApplied:
		m.shardWritten(now, s, p, result.Version)
	case infra.CommitConflict:
		m.shardConflict(now, s, p, result.Conflicts)
	case infra.CommitNotApplied:
		m.notWritten(s, p)
	case infra.CommitUnknown:
		m.markUncertain(s, p)
	}
}

// markUncertain handles a write that may have taken effect or may still do so.
// The result is known once the row has been read.
func (m *Machine) markUncertain(s *shardState, p pendingCommit) {
	m.requestRead(s)
	switch p.kind {
	case commitClaim:
		if s.claim != nil {
			s.claim.uncertain = true
		}
	case commitRewrite:
		s.successorsUncertain = true
	case commitRelease:
		if s.move != nil {
			s.move.maybeReleased = true
		}
	case commitSession:
	}
}

// shardWritten handles a write that took effect.
func (m *Machine) shardWritten(now time.Time, s *shardState, p pendingCommit, version uint64) {
	if version <= s.version {
		return
	}
	if p.sentAt.After(s.readSentAt) {
		s.readSentAt = p.sentAt
	}
	m.adoptShard(now, s, p.row, version)
	if p.kind == commitRelease {
		m.emit(Report{Kind: ShardReleased, Shard: s.name, Epoch: p.row.Epoch, Host: p.row.Owner.Host})
		if p.row.Owner.Host != "" {
			m.pendingUpdates = append(m.pendingUpdates, s.ownerUpdate())
		}
	}
}

// shardConflict handles a write that failed because of a condition. Earlier
// attempts had the same or an older condition and can't take effect any more;
// whether one did is known from the row.
func (m *Machine) shardConflict(now time.Time, s *shardState, p pendingCommit, rows []infra.Row) {
	if p.kind == commitClaim {
		s.claim = nil
	}
	for _, row := range rows {
		switch {
		case row.Key == ShardKey(s.name):
			m.shardSeen(now, p.sentAt, row)
		case row.Key != SessionKey(m.cfg.Host):
			m.observe(now, p.sentAt, hostOfKey(row.Key), row)
		}
	}
}

// notWritten handles a refused write. Earlier attempts whose result was lost
// may still take effect.
func (m *Machine) notWritten(s *shardState, p pendingCommit) {
	switch p.kind {
	case commitClaim:
		if s.claim != nil && !s.claim.uncertain {
			s.claim = nil
		}
	case commitRewrite:
		if !s.successorsUncertain {
			s.pendingSuccessors = nil
		}
	case commitRelease:
		if s.move != nil && !s.move.maybeReleased && !m.stopping {
			m.cancelMove(s)
		}
	case commitSession:
	}
}
