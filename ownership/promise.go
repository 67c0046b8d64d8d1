package ownership

import (
	"slices"
	"time"
)

// pendingAsk is a request to a peer whose reply is awaited.
type pendingAsk struct {
	sentAt time.Time
	host   string
	// held are the shards of a request for a promise.
	held []ShardEpoch
	// stopped is set on a request for a confirmation.
	stopped *StoppedRequest
}

// askPromises asks the named successors for promises when the session was not
// renewed in time. While the table answers, promises are not needed.
func (m *Machine) askPromises(now time.Time) {
	late := m.cfg.renew() + m.cfg.renew()/2
	if !m.session.written || m.excluded() || now.Sub(m.session.renewedAt) < late {
		return
	}
	if !m.askedPromise.IsZero() && now.Sub(m.askedPromise) < m.cfg.renew() {
		return
	}
	held := m.heldBySuccessor()
	hosts := make([]string, 0, len(held))
	for h := range held {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	for _, h := range hosts {
		id := m.newID()
		m.asks[id] = pendingAsk{sentAt: now, host: h, held: held[h]}
		m.emit(AskPromise{ID: id, Host: h, Request: PromiseRequest{Owner: m.self(), Shards: held[h]}})
	}
	m.askedPromise = now
}

// heldBySuccessor lists the shards in use by each successor.
func (m *Machine) heldBySuccessor() map[string][]ShardEpoch {
	held := map[string][]ShardEpoch{}
	for _, name := range m.names {
		s := m.shards[name]
		if !m.mine(s) || !s.begun || s.move != nil {
			continue
		}
		for _, h := range s.mustPromise() {
			held[h] = append(held[h], ShardEpoch{Shard: name, Epoch: s.row.Epoch})
		}
	}
	return held
}

// mustPromise returns everyone who may be named in the row: as it is known,
// and as a write without a known result may have changed it.
func (s *shardState) mustPromise() []string {
	all := slices.Concat(s.row.Successors, s.renamed)
	slices.Sort(all)
	return slices.Compact(all)
}

// PromiseReplied takes a reply to AskPromise in.
func (m *Machine) PromiseReplied(now time.Time, id uint64, reply PromiseReply) []Action {
	ask, ok := m.asks[id]
	delete(m.asks, id)
	if !ok || ask.stopped != nil {
		return m.step(now)
	}
	refused := make(map[string]bool, len(reply.Refused))
	for _, h := range reply.Refused {
		refused[h.Shard] = true
		if s := m.shard(h.Shard); m.mine(s) && h.Epoch > s.row.Epoch {
			m.succeeded(s, h.Epoch)
		}
	}
	if !reply.Promised {
		return m.step(now)
	}
	until := ask.sentAt.Add(m.cfg.Lease.Session.D())
	for _, h := range ask.held {
		s := m.shard(h.Shard)
		if !refused[h.Shard] && s.row.Epoch == h.Epoch && until.After(s.promised[ask.host]) {
			s.promised[ask.host] = until
		}
	}
	return m.step(now)
}

// AskFailed takes in that a peer did not reply.
func (m *Machine) AskFailed(now time.Time, id uint64) []Action {
	delete(m.asks, id)
	return m.step(now)
}

// PromiseAsked answers a peer's PromiseRequest. A process that has not read
// the table yet promises nothing: an earlier process of its host may have
// succeeded the asker.
func (m *Machine) PromiseAsked(now time.Time, req PromiseRequest) (PromiseReply, []Action) {
	_, gone := m.dropped(now, req.Owner)
	if !m.read.done || m.excluded() || gone || m.flaws.neverPromise {
		return PromiseReply{}, m.step(now)
	}
	reply := PromiseReply{Promised: true}
	for _, h := range req.Shards {
		s := m.shard(h.Shard)
		newest := max(s.row.Epoch, s.stoppedBelow)
		if newest > h.Epoch || s.claim != nil {
			reply.Refused = append(reply.Refused, ShardEpoch{Shard: h.Shard, Epoch: newest})
			continue
		}
		s.givenUntil = now.Add(m.lapseOf(req.Owner))
	}
	for h, until := range m.given {
		if !now.Before(until) {
			delete(m.given, h)
		}
	}
	m.given[req.Owner.process()] = now.Add(m.lapseOf(req.Owner))
	return reply, m.step(now)
}
