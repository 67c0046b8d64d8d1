package ownership

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// commitKind is what a transaction is for.
type commitKind uint8

const (
	commitSession commitKind = iota + 1
	commitClaim
	commitRelease
	commitRewrite
)

// pendingCommit is a transaction whose result is awaited.
type pendingCommit struct {
	kind    commitKind
	sentAt  time.Time
	counter uint64
	shard   string
	row     ShardRow
}

// commit asks for a transaction.
func (m *Machine) commit(p pendingCommit, tx infra.Transaction) uint64 {
	id := m.newID()
	m.commits[id] = p
	m.emit(Commit{ID: id, Tx: tx})
	return id
}

// writeShard asks for a transaction that writes a shard's row over the version
// known, under further conditions.
func (m *Machine) writeShard(now time.Time, s *shardState, kind commitKind, row ShardRow, also ...infra.Condition) {
	key := ShardKey(s.name)
	s.triedAt = now
	conditions := append([]infra.Condition{{Key: key, Version: s.version}}, also...)
	s.commit = m.commit(pendingCommit{kind: kind, sentAt: now, shard: s.name, row: row}, infra.Transaction{
		Conditions: conditions,
		Writes:     []infra.Write{{Key: key, Value: encode(row)}},
	})
}

// Committed takes the result of a transaction in.
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
	m.shardCommitted(now, m.shard(p.shard), p, result)
	return m.step(now)
}

// shardCommitted takes the result of a write of a shard's row in.
func (m *Machine) shardCommitted(now time.Time, s *shardState, p pendingCommit, result infra.CommitResult) {
	s.commit = 0
	switch result.Status {
	case infra.CommitApplied:
		m.shardWritten(now, s, p, result.Version)
	case infra.CommitConflict:
		m.shardConflict(now, s, p, result.Conflicts)
	case infra.CommitNotApplied:
		m.notWritten(s, p)
	case infra.CommitUnknown:
		m.doubt(s, p)
	}
}

// doubt takes in that a write may or may not have taken effect, or may do so
// later. The row tells when it is read again.
func (m *Machine) doubt(s *shardState, p pendingCommit) {
	m.look(s)
	switch p.kind {
	case commitClaim:
		if s.claim != nil {
			s.claim.doubtful = true
		}
	case commitRewrite:
		s.renameDoubtful = true
	case commitRelease:
		if s.move != nil {
			s.move.sent = true
		}
	case commitSession:
	}
}

// shardWritten takes in that a write took effect.
func (m *Machine) shardWritten(now time.Time, s *shardState, p pendingCommit, version uint64) {
	if version <= s.version {
		return
	}
	if p.sentAt.After(s.readAt) {
		s.readAt = p.sentAt
	}
	m.adoptShard(now, s, p.row, version)
	if p.kind == commitRelease {
		m.emit(Report{Kind: ShardReleased, Shard: s.name, Epoch: p.row.Epoch, Host: p.row.Owner.Host})
		if p.row.Owner.Host != "" {
			m.news = append(m.news, s.told())
		}
	}
}

// shardConflict takes in that a condition of a write no longer holds. Earlier
// attempts had the same condition or an older one, so none can take effect any
// more; but one may have, which the row tells.
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

// notWritten takes in that a write was refused. Earlier attempts whose result
// was lost may still take effect.
func (m *Machine) notWritten(s *shardState, p pendingCommit) {
	switch p.kind {
	case commitClaim:
		if s.claim != nil && !s.claim.doubtful {
			s.claim = nil
		}
	case commitRewrite:
		if !s.renameDoubtful {
			s.renamed = nil
		}
	case commitRelease:
		if s.move != nil && !s.move.sent && !m.stopping {
			m.keep(s)
		}
	case commitSession:
	}
}
