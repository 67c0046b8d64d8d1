package ownership

import (
	"slices"
	"time"
)

// renewalsPerReminder is the number of renewal intervals between two reminders
// of an owner to its successors.
const renewalsPerReminder = 10

// OwnerUpdate announces the owner of a shard.
type OwnerUpdate struct {
	Shard string `msgpack:"s"`
	Epoch uint64 `msgpack:"e"`
	// Version is the version of the shard's row.
	Version    uint64   `msgpack:"v"`
	Owner      string   `msgpack:"o"`
	Successors []string `msgpack:"n"`
}

// ownerUpdate returns the update for the shard's current row.
func (s *shardState) ownerUpdate() OwnerUpdate {
	return OwnerUpdate{
		Shard: s.name, Epoch: s.row.Epoch, Version: s.version, Owner: s.row.Owner.Host, Successors: s.row.Successors,
	}
}

// announce sends updates to every entry host for shards that this host acquired
// or gave away. It also repeats the updates to successors periodically, since a
// message may be lost.
func (m *Machine) announce(now time.Time) {
	pendingUpdates := m.pendingUpdates
	m.pendingUpdates = nil
	if len(pendingUpdates) > 0 {
		for _, h := range m.roster.EntryHosts() {
			if h.Name != m.cfg.Host {
				m.emit(Notify{Host: h.Name, Updates: pendingUpdates})
			}
		}
	}
	if now.Sub(m.remindedAt) < renewalsPerReminder*m.cfg.renew() || !m.sessionLive(now) {
		return
	}
	m.remindedAt = now
	m.remind()
}

// remind sends updates for all shards of this host to their successors.
func (m *Machine) remind() {
	bySuccessor := map[string][]OwnerUpdate{}
	var hosts []string
	for _, name := range m.sortedShards {
		s := m.shards[name]
		if !m.owns(s) {
			continue
		}
		for _, h := range s.row.Successors {
			if bySuccessor[h] == nil {
				hosts = append(hosts, h)
			}
			bySuccessor[h] = append(bySuccessor[h], s.ownerUpdate())
		}
	}
	slices.Sort(hosts)
	for _, h := range hosts {
		m.emit(Notify{Host: h, Updates: bySuccessor[h]})
	}
}

// Notified handles owner updates from a peer. Rows on which this host may have
// to act are read. Until then this host neither uses the shard under an earlier
// epoch nor promises it to the owner of one.
func (m *Machine) Notified(now time.Time, updates []OwnerUpdate) []Action {
	for _, o := range updates {
		s := m.shards[o.Shard]
		if s == nil || o.Version <= s.version {
			continue
		}
		if o.Epoch > s.row.Epoch {
			s.hint = o
		}
		relevant := slices.Contains(o.Successors, m.cfg.Host) || slices.Contains(s.row.Successors, m.cfg.Host)
		if relevant || m.owns(s) || o.Owner == m.cfg.Host {
			m.requestRead(s)
			m.recordSuccessor(s, o.Epoch)
		}
	}
	return m.step(now)
}

// owner returns the name of a shard's last known owner; empty for none.
func (s *shardState) owner() string {
	if s.hint.Epoch > s.row.Epoch {
		return s.hint.Owner
	}
	return s.row.Owner.Host
}
