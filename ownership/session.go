package ownership

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// sessionState is the state of this host's own session.
type sessionState struct {
	// known is set once the session row has been read.
	known   bool
	version uint64
	counter uint64
	// liveUntil is when the session lapses, counted from the sending of the
	// newest acknowledged renewal.
	liveUntil time.Time
	// renewedAt is when that renewal was sent.
	renewedAt time.Time
	// openedAt is when the session was last opened, that is, renewed while it
	// was not live.
	openedAt time.Time
	// sentAt holds the sending times of renewals without a known result, by
	// counter.
	sentAt map[uint64]time.Time
	// lastSent is when the newest renewal was sent.
	lastSent time.Time
	inFlight bool
	// renewNow requests an immediate renewal.
	renewNow bool
	// stopCounter is the counter of the first renewal that announced a planned
	// stop, 0 for none; stopRecorded is set once that is known to have taken
	// effect.
	stopCounter  uint64
	stopRecorded bool
	// written is set once a renewal of this process has taken effect.
	written bool
	// replaced is set if a later process of the same host holds the session.
	replaced bool
}

// sessionLive reports whether this host's session is live.
func (m *Machine) sessionLive(now time.Time) bool {
	return !m.session.replaced && now.Before(m.session.liveUntil)
}

// renewSession sends a renewal if one is due.
func (m *Machine) renewSession(now time.Time) {
	s := &m.session
	if !s.known || s.inFlight || s.replaced {
		return
	}
	if !s.renewNow && !s.lastSent.IsZero() && now.Sub(s.lastSent) < m.cfg.renew() {
		return
	}
	s.counter++
	s.renewNow = false
	s.inFlight = true
	s.lastSent = now
	if s.sentAt == nil {
		s.sentAt = map[uint64]time.Time{}
	}
	s.sentAt[s.counter] = now
	key := SessionKey(m.cfg.Host)
	value := SessionRow{Incarnation: m.cfg.Incarnation, Counter: s.counter, Stopping: m.stopping, Bounds: m.cfg.bounds()}
	if m.stopping && s.stopCounter == 0 {
		s.stopCounter = s.counter
	}
	m.commit(pendingCommit{kind: commitSession, counter: s.counter, sentAt: now}, infra.Transaction{
		Conditions: []infra.Condition{{Key: key, Version: s.version}},
		Writes:     []infra.Write{{Key: key, Value: encode(value)}},
	})
}

// sessionCommitted handles the result of a renewal.
func (m *Machine) sessionCommitted(now time.Time, p pendingCommit, result infra.CommitResult) {
	m.session.inFlight = false
	switch result.Status {
	case infra.CommitApplied:
		m.adoptSession(now, result.Version, p.counter)
	case infra.CommitConflict:
		for _, row := range result.Conflicts {
			m.ownSessionSeen(now, row)
		}
	case infra.CommitNotApplied:
		delete(m.session.sentAt, p.counter)
	case infra.CommitUnknown:
		// The result is known from the row's counter at the next read or
		// conflict.
	}
}

// ownSessionSeen handles this host's session row, from a read or a conflict.
func (m *Machine) ownSessionSeen(now time.Time, row infra.Row) {
	s := &m.session
	if s.known && row.Version == s.version {
		return
	}
	if row.Version < s.version && row.Version != 0 {
		return
	}
	var value SessionRow
	if row.Version != 0 {
		var err error
		if value, err = DecodeSessionRow(row.Value); err != nil {
			value = SessionRow{}
		}
	}
	switch {
	case value.Incarnation == m.cfg.Incarnation:
		m.adoptSession(now, row.Version, value.Counter)
	case s.written && row.Version != 0:
		s.replaced = true
		m.emit(Report{Kind: SessionReplaced})
	default:
		s.version = row.Version
		s.renewNow = true
	}
	s.known = true
}

// adoptSession handles a renewal that took effect: the session is live for its
// length from the time at which the renewal was sent. If the session was not
// live before, adoptSession opens it and requests a read of all rows.
func (m *Machine) adoptSession(now time.Time, version, counter uint64) {
	s := &m.session
	sentAt, ok := s.sentAt[counter]
	if !ok {
		// The renewal was handled before; only the row's version is new.
		s.version = version
		s.renewNow = true
		return
	}
	from := sentAt
	if m.flaws.expiryFromAnswer {
		from = now
	}
	if !now.Before(s.liveUntil) {
		s.openedAt = now
		m.read.full = true
		m.emit(Report{Kind: SessionOpened})
	}
	s.version = version
	s.written = true
	s.stopRecorded = s.stopCounter != 0 && counter >= s.stopCounter
	s.renewedAt = from
	s.liveUntil = from.Add(m.cfg.Lease.Session.D())
	for c := range s.sentAt {
		if c <= counter {
			delete(s.sentAt, c)
		}
	}
}
