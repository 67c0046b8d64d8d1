package ownership

import (
	"slices"
	"time"
)

// renewalsPerReminder is how many renewal intervals lie between two reminders
// of an owner to its successors.
const renewalsPerReminder = 10

// OwnerUpdate tells of a shard's owner.
type OwnerUpdate struct {
	Shard string `msgpack:"s"`
	Epoch uint64 `msgpack:"e"`
	// Version is that of the shard's row.
	Version    uint64   `msgpack:"v"`
	Owner      string   `msgpack:"o"`
	Successors []string `msgpack:"n"`
}

// told returns what is to be told of a shard.
func (s *shardState) told() OwnerUpdate {
	return OwnerUpdate{
		Shard: s.name, Epoch: s.row.Epoch, Version: s.version, Owner: s.row.Owner.Host, Successors: s.row.Successors,
	}
}

// announce tells every entry host of the shards that became this host's or
// were given away, and reminds the successors of the rest now and then, since
// a message may be lost.
func (m *Machine) announce(now time.Time) {
	news := m.news
	m.news = nil
	if len(news) > 0 {
		for _, h := range m.roster.EntryHosts() {
			if h.Name != m.cfg.Host {
				m.emit(Notify{Host: h.Name, Updates: news})
			}
		}
	}
	if now.Sub(m.remindedAt) < renewalsPerReminder*m.cfg.renew() || !m.sessionLive(now) {
		return
	}
	m.remindedAt = now
	m.remind()
}

// remind tells the successors of every shard of this host.
func (m *Machine) remind() {
	bySuccessor := map[string][]OwnerUpdate{}
	var hosts []string
	for _, name := range m.names {
		s := m.shards[name]
		if !m.mine(s) {
			continue
		}
		for _, h := range s.row.Successors {
			if bySuccessor[h] == nil {
				hosts = append(hosts, h)
			}
			bySuccessor[h] = append(bySuccessor[h], s.told())
		}
	}
	slices.Sort(hosts)
	for _, h := range hosts {
		m.emit(Notify{Host: h, Updates: bySuccessor[h]})
	}
}

// Notified takes in what a peer tells of owners. It is only a hint: rows that
// this host may have to act on are read.
func (m *Machine) Notified(now time.Time, owned []OwnerUpdate) []Action {
	for _, o := range owned {
		s := m.shards[o.Shard]
		if s == nil || o.Version <= s.version {
			continue
		}
		if o.Epoch > s.row.Epoch {
			s.hint = o
		}
		concerned := slices.Contains(o.Successors, m.cfg.Host) || slices.Contains(s.row.Successors, m.cfg.Host)
		if concerned || m.mine(s) || o.Owner == m.cfg.Host {
			m.look(s)
		}
	}
	return m.step(now)
}

// owner returns the name of a shard's owner as last heard, empty for none.
func (s *shardState) owner() string {
	if s.hint.Epoch > s.row.Epoch {
		return s.hint.Owner
	}
	return s.row.Owner.Host
}
