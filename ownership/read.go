package ownership

import (
	"slices"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// Limits of a regular read.
const (
	// renewalsPerRead is the number of renewal intervals between two reads.
	renewalsPerRead = 2
	// minPageRows and maxPagesPerCycle determine how many shard rows a read
	// scans: at least minPageRows, and enough to scan all rows within
	// maxPagesPerCycle reads.
	minPageRows      = 2
	maxPagesPerCycle = 300
	// maxKeysPerRead is the maximum number of rows that one read requests by
	// key.
	maxKeysPerRead = 200
)

// readState is the state of reading the table.
type readState struct {
	// id is the ID of the read in flight; 0 for none.
	id     uint64
	sentAt time.Time
	// full requests a read of all rows; it stays set until one succeeds.
	full bool
	// immediate requests a read as soon as possible.
	immediate bool
	// failed is set if the last read failed.
	failed bool
	// done is set once a full read has succeeded.
	done bool
	// doneUnderSession is set once a full read has succeeded that was sent
	// after this process had opened its session.
	doneUnderSession bool
	// scanAfter is the last key of the newest page of the incremental scan.
	scanAfter string
}

// readRows requests rows when a read is due or needed immediately. It requests
// all rows initially and after the session was opened, and otherwise the rows
// on which this host may have to act plus a page of the others.
func (m *Machine) readRows(now time.Time) {
	r := &m.read
	if r.id != 0 {
		return
	}
	since := now.Sub(r.sentAt)
	full := r.full || !r.done
	urgent := (full || r.immediate) && (!r.failed || since >= m.cfg.renew())
	if !r.sentAt.IsZero() && !urgent && since < renewalsPerRead*m.cfg.renew() {
		return
	}
	r.id = m.newID()
	r.sentAt = now
	r.immediate = false
	if full {
		m.emit(Read{ID: r.id, Full: true})
		return
	}
	limit := max(minPageRows, (len(m.sortedShards)+maxPagesPerCycle-1)/maxPagesPerCycle)
	m.emit(Read{ID: r.id, Keys: m.keysToRead(now), After: r.scanAfter, Limit: limit})
}

// keysToRead returns the keys of the rows on which this host may have to act.
func (m *Machine) keysToRead(now time.Time) []string {
	live := m.sessionLive(now)
	var sessions, shards []string
	if !live || len(m.session.sentAt) > 0 {
		sessions = append(sessions, SessionKey(m.cfg.Host))
	}
	for _, name := range m.sortedShards {
		s := m.shards[name]
		for _, h := range m.watchedHosts(s) {
			if h != "" && h != m.cfg.Host {
				sessions = append(sessions, SessionKey(h))
			}
		}
		if s.needsRead() || (!live && m.owns(s)) {
			shards = append(shards, ShardKey(name))
		}
	}
	for _, h := range m.inquiredHosts(now) {
		sessions = append(sessions, SessionKey(h))
	}
	slices.Sort(sessions)
	keys := slices.Concat(slices.Compact(sessions), shards)
	if len(keys) > maxKeysPerRead {
		m.read.immediate = true
		keys = keys[:maxKeysPerRead]
	}
	return keys
}

// watchedHosts returns the hosts whose sessions are relevant for a shard: an
// owner that this host may succeed, and the previous and next owners of its own
// shard.
func (m *Machine) watchedHosts(s *shardState) []string {
	var hosts []string
	if s.claim != nil && s.claim.condition != nil {
		hosts = append(hosts, hostOfKey(s.claim.condition.Key))
	}
	if s.row.Unconfirmed != nil && (m.owns(s) || slices.Contains(s.row.Successors, m.cfg.Host)) {
		hosts = append(hosts, s.row.Unconfirmed.Host)
	}
	owner := s.row.Owner.Host
	if !m.owns(s) {
		if owner != "" && (slices.Contains(s.row.Successors, m.cfg.Host) || !m.roster.Listed(owner)) {
			hosts = append(hosts, owner)
		}
		return hosts
	}
	candidates := 1
	if m.stopping {
		candidates = 1 + m.cfg.Lease.Successors
		hosts = append(hosts, s.row.Successors...)
	}
	order := m.roster.PreferredOwners(s.name)
	hosts = append(hosts, order[:min(candidates, len(order))]...)
	if s.move != nil {
		hosts = append(hosts, s.move.to)
	}
	return hosts
}

// needsRead reports whether a shard's row must be read, because a read was
// requested or because a write may have taken effect.
func (s *shardState) needsRead() bool {
	uncertain := (s.claim != nil && s.commit == 0) || s.successorsUncertain || (s.move != nil && s.move.maybeReleased)
	return uncertain || s.minReadID != 0
}

// requestRead requests an immediate read of a shard's row, by a read that has
// not been sent yet.
func (m *Machine) requestRead(s *shardState) {
	s.minReadID = m.nextID + 1
	m.read.immediate = true
}

// markRead records that a read covered a shard's row.
func (s *shardState) markRead(id uint64) {
	if id >= s.minReadID {
		s.minReadID = 0
	}
}

// ReadFailed handles the failure of a read.
func (m *Machine) ReadFailed(now time.Time, id uint64) []Action {
	if m.read.id == id {
		m.read.id = 0
		m.read.failed = true
		m.read.immediate = true
	}
	return m.step(now)
}

// RowsRead handles the rows of a full read.
func (m *Machine) RowsRead(now time.Time, id uint64, sessions, shards []infra.Row) []Action {
	if m.read.id != id {
		return m.step(now)
	}
	sentAt := m.readDone()
	m.read.done = true
	if m.session.written && !sentAt.Before(m.session.openedAt) {
		m.read.doneUnderSession = true
	}
	m.read.full = sentAt.Before(m.session.openedAt) || sentAt.Before(m.stoppingAt)
	m.observeSessions(now, sentAt, sessions)
	for _, row := range shards {
		m.shardSeen(now, sentAt, row)
	}
	m.markAbsentRead(sentAt, shards)
	for _, s := range m.shards {
		s.markRead(id)
	}
	return m.step(now)
}

// KeysRead handles the rows of a read by key, where version 0 means an absent
// row, and a page of the incremental scan.
func (m *Machine) KeysRead(now time.Time, id uint64, rows, page []infra.Row, limit int) []Action {
	if m.read.id != id {
		return m.step(now)
	}
	sentAt := m.readDone()
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, ShardPrefix):
			m.shardSeen(now, sentAt, row)
			m.shard(shardOfKey(row.Key)).markRead(id)
		case hostOfKey(row.Key) != m.cfg.Host:
			m.observe(now, sentAt, hostOfKey(row.Key), row)
		case row.Version != 0 || !m.session.inFlight:
			m.ownSessionSeen(now, row)
		}
	}
	for _, row := range page {
		m.shardSeen(now, sentAt, row)
	}
	m.read.scanAfter = ""
	if len(page) >= limit {
		m.read.scanAfter = page[len(page)-1].Key
	}
	return m.step(now)
}

// readDone ends the read in flight and returns when it was sent.
func (m *Machine) readDone() time.Time {
	m.read.id = 0
	m.read.failed = false
	return m.read.sentAt
}
