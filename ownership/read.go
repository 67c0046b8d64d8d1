package ownership

import (
	"slices"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// Bounds on a regular read.
const (
	// renewalsPerRead is how many renewal intervals lie between two reads.
	renewalsPerRead = 2
	// pageRows and pagesPerCycle bound the slow scan of the shards' rows: a
	// read takes at least pageRows of them, and so many that a cycle takes
	// no more than pagesPerCycle reads.
	pageRows      = 2
	pagesPerCycle = 300
	// keysAtOnce is how many rows one read asks for by key.
	keysAtOnce = 200
)

// readState is the reading of the table.
type readState struct {
	// id is the read under way, 0 for none.
	id     uint64
	sentAt time.Time
	// full asks for a read of everything; it stays set until one succeeded.
	full bool
	// wanted asks for a read at once.
	wanted bool
	// failed is set when the newest read failed.
	failed bool
	// done is set once a full read succeeded.
	done bool
	// after is the last key of the newest page of the slow scan.
	after string
}

// readRows asks for rows when it is time or when something waits for them:
// for everything at first and whenever the session was opened, else for what
// this host may have to act on, and a page of the rest.
func (m *Machine) readRows(now time.Time) {
	r := &m.read
	if r.id != 0 {
		return
	}
	since := now.Sub(r.sentAt)
	full := r.full || !r.done
	urgent := (full || r.wanted) && (!r.failed || since >= m.cfg.renew())
	if !r.sentAt.IsZero() && !urgent && since < renewalsPerRead*m.cfg.renew() {
		return
	}
	r.id = m.newID()
	r.sentAt = now
	r.wanted = false
	if full {
		m.emit(Read{ID: r.id, Full: true})
		return
	}
	limit := max(pageRows, (len(m.names)+pagesPerCycle-1)/pagesPerCycle)
	m.emit(Read{ID: r.id, Keys: m.keysToRead(now), After: r.after, Limit: limit})
}

// keysToRead lists the rows that this host may have to act on.
func (m *Machine) keysToRead(now time.Time) []string {
	live := m.sessionLive(now)
	var sessions, shards []string
	if !live || len(m.session.sentAt) > 0 {
		sessions = append(sessions, SessionKey(m.cfg.Host))
	}
	for _, name := range m.names {
		s := m.shards[name]
		for _, h := range m.watched(s) {
			if h != "" && h != m.cfg.Host {
				sessions = append(sessions, SessionKey(h))
			}
		}
		if s.unsettled() || (!live && m.mine(s)) {
			shards = append(shards, ShardKey(name))
		}
	}
	for _, h := range m.inquired(now) {
		sessions = append(sessions, SessionKey(h))
	}
	slices.Sort(sessions)
	keys := slices.Concat(slices.Compact(sessions), shards)
	if len(keys) > keysAtOnce {
		m.read.wanted = true
		keys = keys[:keysAtOnce]
	}
	return keys
}

// watched returns the hosts whose sessions matter for a shard: the owner that
// this host may succeed, and those whom its own shard may go to or came from.
func (m *Machine) watched(s *shardState) []string {
	var hosts []string
	if s.claim != nil && s.claim.condition != nil {
		hosts = append(hosts, hostOfKey(s.claim.condition.Key))
	}
	if s.row.Unconfirmed != nil && (m.mine(s) || slices.Contains(s.row.Successors, m.cfg.Host)) {
		hosts = append(hosts, s.row.Unconfirmed.Host)
	}
	owner := s.row.Owner.Host
	if !m.mine(s) {
		if owner != "" && (slices.Contains(s.row.Successors, m.cfg.Host) || !m.roster.Listed(owner)) {
			hosts = append(hosts, owner)
		}
		return hosts
	}
	heirs := 1
	if m.stopping {
		heirs = 1 + m.cfg.Lease.Successors
		hosts = append(hosts, s.row.Successors...)
	}
	order := m.roster.PreferredOwners(s.name)
	hosts = append(hosts, order[:min(heirs, len(order))]...)
	if s.move != nil {
		hosts = append(hosts, s.move.to)
	}
	return hosts
}

// unsettled reports whether a shard's row must be read, because it was said to
// have changed or a write of it may have taken effect.
func (s *shardState) unsettled() bool {
	doubtful := (s.claim != nil && s.commit == 0) || s.renameDoubtful || (s.move != nil && s.move.sent)
	return doubtful || s.lookFrom != 0
}

// look asks for a shard's row to be read at once, by a read that is not under
// way yet.
func (m *Machine) look(s *shardState) {
	s.lookFrom = m.nextID + 1
	m.read.wanted = true
}

// looked notes that a read covered a shard's row.
func (s *shardState) looked(id uint64) {
	if id >= s.lookFrom {
		s.lookFrom = 0
	}
}

// ReadFailed takes in that a read had no answer.
func (m *Machine) ReadFailed(now time.Time, id uint64) []Action {
	if m.read.id == id {
		m.read.id = 0
		m.read.failed = true
		m.read.wanted = true
	}
	return m.step(now)
}

// RowsRead takes in the rows of a full read.
func (m *Machine) RowsRead(now time.Time, id uint64, sessions, shards []infra.Row) []Action {
	if m.read.id != id {
		return m.step(now)
	}
	sentAt := m.readDone()
	m.read.done = true
	m.read.full = sentAt.Before(m.session.openedAt) || sentAt.Before(m.stoppingAt)
	m.observeSessions(now, sentAt, sessions)
	for _, row := range shards {
		m.shardSeen(now, sentAt, row)
	}
	m.settleAbsent(sentAt, shards)
	for _, s := range m.shards {
		s.looked(id)
	}
	return m.step(now)
}

// KeysRead takes in the rows of a read by key, version 0 for those that are
// absent, and of a page of the slow scan.
func (m *Machine) KeysRead(now time.Time, id uint64, rows, page []infra.Row, limit int) []Action {
	if m.read.id != id {
		return m.step(now)
	}
	sentAt := m.readDone()
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, ShardPrefix):
			m.shardSeen(now, sentAt, row)
			m.shard(shardOfKey(row.Key)).looked(id)
		case hostOfKey(row.Key) != m.cfg.Host:
			m.observe(now, sentAt, hostOfKey(row.Key), row)
		case row.Version != 0 || !m.session.inFlight:
			m.ownSessionSeen(now, row)
		}
	}
	for _, row := range page {
		m.shardSeen(now, sentAt, row)
	}
	m.read.after = ""
	if len(page) >= limit {
		m.read.after = page[len(page)-1].Key
	}
	return m.step(now)
}

// readDone ends the read under way and returns when it was sent.
func (m *Machine) readDone() time.Time {
	m.read.id = 0
	m.read.failed = false
	return m.read.sentAt
}
