package ownership

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// observedSession is the state of another host's session as seen by this
// machine.
type observedSession struct {
	incarnation string
	version     uint64
	// stopping is set if the host is handing over its shards.
	stopping bool
	bounds   Bounds
	// versionSince is when this version was first seen.
	versionSince time.Time
	// incarnationSince is when this incarnation was first seen, incarnationVersion the
	// version of the row then.
	incarnationSince   time.Time
	incarnationVersion uint64
	// readSentAt is when the row was last read, by a request sent at readSentAt.
	readAt, readSentAt time.Time
}

// observeSessions handles the rows of all sessions, this host's own included. A
// known session that is missing from rows has no row.
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

// observe handles the session row of one host, read by a request sent at
// sentAt. Version 0 means that there is no row.
func (m *Machine) observe(now, sentAt time.Time, host string, row infra.Row) {
	o := m.sessions[host]
	if o == nil {
		o = &observedSession{versionSince: now, incarnationSince: now, version: row.Version}
		m.sessions[host] = o
	}
	o.readAt = now
	o.readSentAt = sentAt
	if row.Version != o.version {
		o.version = row.Version
		o.versionSince = now
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
	o.incarnationVersion = row.Version
}

// shardSeen handles a shard's row, read by a request sent at sentAt. It adopts
// the row if its version is new.
func (m *Machine) shardSeen(now, sentAt time.Time, row infra.Row) {
	s := m.shard(shardOfKey(row.Key))
	if row.Version < s.version {
		return
	}
	if sentAt.After(s.readSentAt) {
		s.readSentAt = sentAt
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

// adoptShard stores a new version of a shard's row. If the row has a new epoch,
// adoptShard also ends the use of the shard under the old epoch, discards a move
// and the promises, and starts the ownership if the row names this process.
func (m *Machine) adoptShard(now time.Time, s *shardState, row ShardRow, version uint64) {
	newEpoch := !s.exists() || row.Epoch != s.row.Epoch
	s.row = row
	s.version = version
	s.claim = nil
	s.pendingSuccessors = nil
	s.successorsUncertain = false
	s.vacantSince = time.Time{}
	if !newEpoch {
		return
	}
	s.inUse = false
	s.move = nil
	s.promised = map[string]time.Time{}
	if m.owns(s) {
		m.becameOwner(now, s)
		m.pendingUpdates = append(m.pendingUpdates, s.ownerUpdate())
	}
}

// becameOwner sets the time from which a newly owned shard may be used, and
// reports the change of owner.
func (m *Machine) becameOwner(now time.Time, s *shardState) {
	s.usableFrom = now
	if s.endpoint && s.row.Seized && !m.flaws.noDrainWait {
		s.usableFrom = now.Add(m.drainTimeOf(s.row.MaxRun))
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

// markAbsentRead records that a full read covered the shards without a row.
func (m *Machine) markAbsentRead(sentAt time.Time, rows []infra.Row) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[shardOfKey(row.Key)] = true
	}
	for _, name := range m.sortedShards {
		s := m.shards[name]
		if !s.exists() && !present[name] && sentAt.After(s.readSentAt) {
			s.readSentAt = sentAt
		}
	}
}
