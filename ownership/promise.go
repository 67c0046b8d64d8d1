package ownership

import (
	"slices"
	"time"
)

// pendingAsk is a request to a peer without a reply.
type pendingAsk struct {
	sentAt time.Time
	host   string
	// shards holds the shards of a request for a promise.
	shards []ShardEpoch
	// stopped is set for a request for confirmation that a process has stopped.
	stopped *StoppedRequest
}

// askPromises requests promises from the named successors if the session was
// not renewed in time. While the table answers, promises are not needed.
func (m *Machine) askPromises(now time.Time) {
	overdue := m.cfg.renew() + m.cfg.renew()/2
	if !m.session.written || m.excluded() || now.Sub(m.session.renewedAt) < overdue {
		return
	}
	if !m.promisesAskedAt.IsZero() && now.Sub(m.promisesAskedAt) < m.cfg.renew() {
		return
	}
	shards := m.shardsBySuccessor()
	hosts := make([]string, 0, len(shards))
	for h := range shards {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	for _, h := range hosts {
		id := m.newID()
		m.asks[id] = pendingAsk{sentAt: now, host: h, shards: shards[h]}
		m.emit(AskPromise{ID: id, Host: h, Request: PromiseRequest{Owner: m.self(), Shards: shards[h]}})
	}
	m.promisesAskedAt = now
}

// shardsBySuccessor returns the shards in use, by possible successor.
func (m *Machine) shardsBySuccessor() map[string][]ShardEpoch {
	bySuccessor := map[string][]ShardEpoch{}
	for _, name := range m.sortedShards {
		s := m.shards[name]
		if !m.owns(s) || !s.inUse || s.move != nil {
			continue
		}
		for _, h := range s.possibleSuccessors() {
			bySuccessor[h] = append(bySuccessor[h], ShardEpoch{Shard: name, Epoch: s.row.Epoch})
		}
	}
	return bySuccessor
}

// possibleSuccessors returns the hosts that the row may name: those of the
// known row, and those of a write whose result is unknown.
func (s *shardState) possibleSuccessors() []string {
	all := slices.Concat(s.row.Successors, s.pendingSuccessors)
	slices.Sort(all)
	return slices.Compact(all)
}

// PromiseReplied handles a reply to AskPromise. A promise lasts for one session
// from the time at which it was requested.
func (m *Machine) PromiseReplied(now time.Time, id uint64, reply PromiseReply) []Action {
	ask, ok := m.asks[id]
	delete(m.asks, id)
	if !ok || ask.stopped != nil {
		return m.step(now)
	}
	refused := make(map[string]bool, len(reply.Refused))
	for _, h := range reply.Refused {
		refused[h.Shard] = true
		if s := m.shard(h.Shard); m.owns(s) && h.Epoch > s.row.Epoch {
			m.recordSuccessor(s, h.Epoch)
		}
	}
	if !reply.Promised {
		return m.step(now)
	}
	until := ask.sentAt.Add(m.cfg.Lease.Session.D())
	for _, h := range ask.shards {
		s := m.shard(h.Shard)
		if !refused[h.Shard] && s.row.Epoch == h.Epoch && until.After(s.promised[ask.host]) {
			s.promised[ask.host] = until
		}
	}
	return m.step(now)
}

// AskFailed handles a request to a peer that failed or was not answered in time.
func (m *Machine) AskFailed(now time.Time, id uint64) []Action {
	delete(m.asks, id)
	return m.step(now)
}

// PromiseAsked handles a peer's PromiseRequest and returns the reply. A process
// that has not read the table under its own session yet gives no promise, since
// an earlier process of its host may have succeeded the requester. No claim of
// an earlier process takes effect after the opening of that session.
func (m *Machine) PromiseAsked(now time.Time, req PromiseRequest) (PromiseReply, []Action) {
	m.detectPause(now)
	_, isDropped := m.dropped(now, req.Owner)
	if !m.mayPromise() || m.excluded() || isDropped || m.flaws.neverPromise {
		return PromiseReply{}, m.step(now)
	}
	reply := PromiseReply{Promised: true}
	for _, h := range req.Shards {
		s := m.shard(h.Shard)
		newest := max(s.row.Epoch, s.minUsableEpoch)
		if newest > h.Epoch || s.claim != nil || !m.readSinceDrop(now, s, req.Owner) {
			reply.Refused = append(reply.Refused, ShardEpoch{Shard: h.Shard, Epoch: newest})
			continue
		}
		s.noClaimUntil = now.Add(m.lapseTimeOf(req.Owner))
	}
	for h, until := range m.promisesGiven {
		if !now.Before(until) {
			delete(m.promisesGiven, h)
		}
	}
	m.promisesGiven[req.Owner.process()] = now.Add(m.lapseTimeOf(req.Owner))
	return reply, m.step(now)
}

// mayPromise reports whether this host knows of all claims of its earlier
// processes.
func (m *Machine) mayPromise() bool {
	return m.read.doneUnderSession || (m.flaws.claimsOutliveProcess && m.read.done)
}

// readSinceDrop reports whether no host can have succeeded the owner of a shard,
// because the list had dropped the owner for long, since the shard's row was
// read: from one session, for the list's lag, after the list named the owner
// again. A pause of this process counts as such a drop. If not, it requests a
// read.
func (m *Machine) readSinceDrop(now time.Time, s *shardState, owner Holder) bool {
	if m.flaws.promiseRelisted {
		return true
	}
	if a, ok := m.absent[owner.Host]; ok && m.droppedForLong(now, owner.Host, a) {
		// The owner may have read a later list than this host.
		return false
	}
	since := m.relisted[owner.Host]
	if m.resumedAt.After(since) {
		since = m.resumedAt
	}
	if since.IsZero() || s.readSentAt.After(since.Add(m.lapseTimeOf(owner))) {
		return true
	}
	if s.minReadID == 0 {
		m.requestRead(s)
	}
	return false
}
