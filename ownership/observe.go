package ownership

import (
	"time"

	"github.com/fireflygate/fireflygate/platform"
)

// observed is another host's session as this machine sees it.
type observed struct {
	incarnation string
	version     uint64
	// stopping is set once it hands its shards over.
	stopping bool
	bounds   Bounds
	// since is when this version was first seen.
	since time.Time
	// incarnationSince is when this incarnation was first seen.
	incarnationSince time.Time
}

// readState is the reading of the table.
type readState struct {
	// id is the read under way, 0 for none.
	id     uint64
	sentAt time.Time
	// wanted asks for a read at once.
	wanted bool
	// done is set once a read succeeded.
	done bool
}

// readRows asks for the table's rows when it is time or when something waits
// for them.
func (m *Machine) readRows(now time.Time) {
	r := &m.read
	if r.id != 0 {
		return
	}
	if !r.wanted && !r.sentAt.IsZero() && now.Sub(r.sentAt) < m.cfg.renew() {
		return
	}
	r.id = m.newID()
	r.sentAt = now
	r.wanted = false
	m.emit(Read{ID: r.id})
}

// ReadFailed takes in that a read had no answer.
func (m *Machine) ReadFailed(now time.Time, id uint64) []Action {
	if m.read.id == id {
		m.read.id = 0
	}
	return m.step(now)
}

// RowsRead takes in the rows of a read.
func (m *Machine) RowsRead(now time.Time, id uint64, sessions, shards []platform.Row) []Action {
	if m.read.id != id {
		return m.step(now)
	}
	sentAt := m.read.sentAt
	m.read.id = 0
	m.read.done = true
	m.observeSessions(now, sessions)
	for _, row := range shards {
		m.shardSeen(now, sentAt, row)
	}
	m.settleAbsent(sentAt, shards)
	return m.step(now)
}

// observeSessions takes the session rows in.
func (m *Machine) observeSessions(now time.Time, rows []platform.Row) {
	own := platform.Row{}
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		host := hostOfKey(row.Key)
		present[host] = true
		if host == m.cfg.Host {
			own = row
			continue
		}
		m.observe(now, host, row)
	}
	for host := range m.sessions {
		if !present[host] {
			m.observe(now, host, platform.Row{})
		}
	}
	if own.Version != 0 || !m.session.inFlight {
		m.ownSessionSeen(now, own)
	}
}

// observe takes one host's session row in; version 0 for its absence.
func (m *Machine) observe(now time.Time, host string, row platform.Row) {
	o := m.sessions[host]
	if o == nil {
		o = &observed{since: now, incarnationSince: now, version: row.Version}
		m.sessions[host] = o
	}
	if row.Version != o.version {
		o.version = row.Version
		o.since = now
	}
	value, err := DecodeSessionRow(row.Value)
	if row.Version == 0 || err != nil {
		return
	}
	o.stopping = value.Stopping
	o.bounds = value.Bounds
	if value.Incarnation == o.incarnation {
		return
	}
	o.incarnation = value.Incarnation
	o.incarnationSince = now
}

// shardSeen takes a shard's row in, as found by a request sent at sentAt.
func (m *Machine) shardSeen(now, sentAt time.Time, row platform.Row) {
	s := m.shard(shardOfKey(row.Key))
	if row.Version < s.version {
		return
	}
	if sentAt.After(s.readAt) {
		s.readAt = sentAt
	}
	if row.Version == s.version {
		return
	}
	value, err := DecodeShardRow(row.Value)
	if err != nil {
		return
	}
	m.adoptShard(now, s, value, row.Version)
}

// adoptShard takes a new row of a shard in.
func (m *Machine) adoptShard(now time.Time, s *shardState, row ShardRow, version uint64) {
	fresh := !s.exists() || row.Epoch != s.row.Epoch
	s.row = row
	s.version = version
	s.claim = nil
	s.renamed = nil
	s.renameDoubtful = false
	s.wantedAt = time.Time{}
	if !fresh {
		return
	}
	s.begun = false
	s.move = nil
	s.promised = map[string]time.Time{}
	if m.mine(s) {
		m.owned(now, s)
	}
}

// owned takes in that a shard became this host's.
func (m *Machine) owned(now time.Time, s *shardState) {
	s.startAt = now
	if s.endpoint && s.row.Seized && !m.flaws.noDrainWait {
		s.startAt = now.Add(m.drainedOf(s.row.MaxRun))
	}
	kind := ShardOwned
	if s.row.Seized {
		kind = ShardSeized
	}
	r := Report{Kind: kind, Shard: s.name, Epoch: s.row.Epoch}
	if s.row.Unconfirmed != nil {
		r.Host = s.row.Unconfirmed.Host
	}
	m.emit(r)
}

// settleAbsent notes that shards without a row were looked for.
func (m *Machine) settleAbsent(sentAt time.Time, rows []platform.Row) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[shardOfKey(row.Key)] = true
	}
	for _, name := range m.names {
		s := m.shards[name]
		if !s.exists() && !present[name] && sentAt.After(s.readAt) {
			s.readAt = sentAt
		}
	}
}

// ReadNow asks for a read at once, because a peer said that something changed.
func (m *Machine) ReadNow(now time.Time) []Action {
	m.read.wanted = true
	return m.step(now)
}
