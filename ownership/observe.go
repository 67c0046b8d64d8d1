package ownership

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
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
	// lookedAt is when the row was last read, by a request sent at readSent.
	lookedAt, readSent time.Time
}

// observeSessions takes the session rows in.
func (m *Machine) observeSessions(now, sentAt time.Time, rows []infra.Row) {
	own := infra.Row{}
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		host := hostOfKey(row.Key)
		present[host] = true
		if host == m.cfg.Host {
			own = row
			continue
		}
		m.observe(now, sentAt, host, row)
	}
	for host := range m.sessions {
		if !present[host] {
			m.observe(now, sentAt, host, infra.Row{})
		}
	}
	if own.Version != 0 || !m.session.inFlight {
		m.ownSessionSeen(now, own)
	}
}

// observe takes one host's session row in, as found by a request sent at
// sentAt; version 0 for its absence.
func (m *Machine) observe(now, sentAt time.Time, host string, row infra.Row) {
	o := m.sessions[host]
	if o == nil {
		o = &observed{since: now, incarnationSince: now, version: row.Version}
		m.sessions[host] = o
	}
	o.lookedAt = now
	o.readSent = sentAt
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
func (m *Machine) shardSeen(now, sentAt time.Time, row infra.Row) {
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
		m.news = append(m.news, s.told())
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
func (m *Machine) settleAbsent(sentAt time.Time, rows []infra.Row) {
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
