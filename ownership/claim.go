package ownership

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// maybeClaim claims a shard that this host does not own, if it may. It reports
// whether it sent a claim.
func (m *Machine) maybeClaim(now time.Time, s *shardState) bool {
	if !m.mayClaim(now, s) {
		return false
	}
	switch {
	case !s.exists() || s.row.Owner.Host == "":
		return m.claimVacant(now, s)
	case s.row.Owner.Host == m.cfg.Host:
		return m.reclaim(now, s)
	default:
		return m.takeOver(now, s)
	}
}

// mayClaim reports whether this host may claim the shard at all.
func (m *Machine) mayClaim(now time.Time, s *shardState) bool {
	switch {
	case m.stopping, m.excluded(), !m.roster.LiveHost(m.cfg.Host):
		return false
	case len(m.roster.Members(s.name)) == 0:
		return false
	case !m.sessionLive(now), !m.verified(s):
		return false
	case now.Before(s.noClaimUntil) && !m.flaws.ignorePromises:
		return false
	case s.commit != 0, s.row.Epoch < s.minUsableEpoch:
		return false
	case m.session.inFlight && !m.flaws.claimsOutliveProcess:
		// The claim depends on the version that this renewal replaces.
		return false
	case s.claim != nil && !s.readSentAt.After(s.claim.sentAt):
		// The row must be read before the claim is sent again.
		return false
	default:
		return m.mayWrite(now, s)
	}
}

// mayWrite limits the rate of writes to one shard's row.
func (m *Machine) mayWrite(now time.Time, s *shardState) bool {
	return s.lastWriteAt.IsZero() || now.Sub(s.lastWriteAt) >= m.cfg.renew()/2
}

// claimVacant claims a shard without an owner. Less preferred hosts wait
// longer, in case a preferred host is available.
func (m *Machine) claimVacant(now time.Time, s *shardState) bool {
	if s.vacantSince.IsZero() {
		s.vacantSince = now
	}
	wait := time.Duration(m.rank(s)) * m.cfg.Lease.Session.D()
	if now.Sub(s.vacantSince) < wait {
		return false
	}
	if now.Sub(s.readSentAt) > renewalsPerRead*m.cfg.renew() {
		// Another host may have claimed it. A read is cheaper than a write that
		// fails.
		m.requestRead(s)
		return false
	}
	// If a shard was released to nobody, the row may still name an earlier
	// owner that must be waited for.
	row := ShardRow{Seized: s.row.Seized}
	if !m.previousCleared(now, s) {
		row.Unconfirmed = s.row.Unconfirmed
	}
	m.sendClaim(now, s, row, nil)
	return true
}

// reclaim claims a shard owned by an earlier process of this host. That process
// has ended, but its requests may still be in flight.
func (m *Machine) reclaim(now time.Time, s *shardState) bool {
	if !m.previousCleared(now, s) {
		m.askPrevious(now, s)
		return false
	}
	m.sendClaim(now, s, ShardRow{Seized: true}, nil)
	return true
}

// takeOver claims a shard from another host whose session has lapsed.
func (m *Machine) takeOver(now time.Time, s *shardState) bool {
	l, ok := m.lapsed(now, s)
	if !ok {
		return false
	}
	if !m.previousCleared(now, s) && !m.flaws.noSecondWait {
		m.askPrevious(now, s)
		return false
	}
	if !m.maySucceed(now, s, l) {
		return false
	}
	m.sendClaim(now, s, m.seizedRow(now, s, l), l.condition)
	return true
}

// seizedRow returns the row for taking over a shard without a release.
func (m *Machine) seizedRow(now time.Time, s *shardState, l lapse) ShardRow {
	if !s.endpoint {
		// Worker shards are not shared with the previous owner.
		return ShardRow{Seized: true}
	}
	since, isDropped := m.dropped(now, s.row.Owner)
	if isDropped && now.Sub(since) >= m.drainedAfterDrop(s.row.Owner, s.inFlightBound()) {
		return ShardRow{}
	}
	if l.superseded {
		return ShardRow{Seized: true}
	}
	previous := s.row.Owner
	return ShardRow{Seized: true, Unconfirmed: &previous}
}

// maySucceed reports whether this host may succeed a shard's owner now: either
// as a named successor whose promise has lapsed, or because the membership list
// has dropped the owner.
func (m *Machine) maySucceed(now time.Time, s *shardState, l lapse) bool {
	if since, isDropped := m.dropped(now, s.row.Owner); isDropped && !now.Before(since.Add(m.dropWait(s.row.Owner))) {
		return !now.Before(l.at.Add(m.claimDelay(m.rank(s))))
	}
	position := slices.Index(s.row.Successors, m.cfg.Host)
	if position < 0 || now.Before(l.at.Add(m.claimDelay(position))) {
		return false
	}
	if m.flaws.ignorePromises {
		return true
	}
	// An earlier process of this host may have given a promise.
	return !now.Before(m.started.Add(m.lapseTimeOf(s.row.Owner))) && !now.Before(m.promisesGiven[s.row.Owner.process()])
}

// dropWait is how long after the list has dropped a shard's owner any host may
// succeed it. One session covers the delay with which the owner and its
// successors read the list; the other covers the last promise to the owner or a
// short pause of its process.
func (m *Machine) dropWait(owner Holder) time.Duration {
	if m.flaws.noDropWait {
		return 0
	}
	return 2 * m.lapseTimeOf(owner)
}

// lapseTimeOf is the time without a renewal after which a process's session and
// the promises to it have lapsed.
func (m *Machine) lapseTimeOf(h Holder) time.Duration {
	if m.flaws.ownBounds {
		return m.cfg.lapseTime(Bounds{})
	}
	return m.cfg.lapseTime(h.Bounds)
}

// drainTimeOf is the time after which nothing of a stopped process is in flight.
func (m *Machine) drainTimeOf(maxRun time.Duration) time.Duration {
	if m.flaws.ownBounds {
		return m.cfg.drainTime(0)
	}
	return m.cfg.drainTime(maxRun)
}

// lapse describes the lapse of an owner's session.
type lapse struct {
	// at is when the session lapsed.
	at time.Time
	// condition fails if the owner has renewed its session since; nil if the
	// owner's process was superseded and cannot renew it.
	condition *infra.Condition
	// superseded is set if a later process of the owner's host has started.
	superseded bool
}

// lapsed reports whether the session of a shard's owner has lapsed by this
// host's clock.
func (m *Machine) lapsed(now time.Time, s *shardState) (lapse, bool) {
	owner := s.row.Owner
	o := m.sessions[owner.Host]
	if o == nil || now.Sub(o.readAt) > 2*renewalsPerRead*m.cfg.renew() {
		// The session hasn't been read recently enough.
		return lapse{}, false
	}
	if o.supersedes(owner, s.version) {
		l := lapse{at: o.incarnationSince.Add(m.lapseTimeOf(owner)), superseded: true}
		return l, !now.Before(l.at)
	}
	l := lapse{at: o.versionSince.Add(m.lapseTimeOf(owner))}
	if !m.flaws.noSessionCondition {
		l.condition = &infra.Condition{Key: SessionKey(owner.Host), Version: o.version}
	}
	return l, !now.Before(l.at)
}

// supersedes reports whether the session belongs to a later process of h's host
// than h. version is the version of the row that names h as owner.
func (o *observedSession) supersedes(h Holder, version uint64) bool {
	return o.incarnation != "" && o.incarnation != h.Incarnation && o.version > version
}

// sendClaim sends a claim. It uses Seized and Unconfirmed of row and sets all
// other fields. The claim depends on the version of this host's session as
// well, so that it can't take effect once a later process of this host has
// opened its session.
func (m *Machine) sendClaim(now time.Time, s *shardState, row ShardRow, condition *infra.Condition) {
	row.Owner = m.self()
	if row.Seized {
		row.MaxRun = s.inFlightBound()
	}
	row.Epoch = s.row.Epoch + 1
	row.Successors = m.successors(s, m.cfg.Host)
	uncertain := s.claim != nil && s.claim.uncertain
	s.claim = &claim{sentAt: now, uncertain: uncertain, condition: condition}
	extra := []infra.Condition{{Key: SessionKey(m.cfg.Host), Version: m.session.version}}
	if m.flaws.claimsOutliveProcess {
		extra = nil
	}
	if condition != nil {
		extra = append(extra, *condition)
	}
	m.writeShard(now, s, commitClaim, row, extra...)
}

// dropVoidClaim drops a claim that can no longer take effect because the
// session that it depends on was renewed. Session versions only increase, so
// that its earlier attempts are void as well. The claim may have taken effect
// before the renewal; dropVoidClaim keeps it until the shard's row was read by a
// request sent since the renewal is known.
func (m *Machine) dropVoidClaim(now time.Time, s *shardState) {
	if s.claim == nil || s.commit != 0 || s.claim.condition == nil {
		return
	}
	o := m.sessions[hostOfKey(s.claim.condition.Key)]
	if o == nil || o.version <= s.claim.condition.Version {
		return
	}
	if s.claim.voidSince.IsZero() {
		s.claim.voidSince = now
	}
	if !s.readSentAt.Before(s.claim.voidSince) || m.flaws.dropVoidUnread {
		s.claim = nil
	}
}

// successors returns the hosts that may succeed a shard's owner while the owner
// is still in the membership list.
func (m *Machine) successors(s *shardState, owner string) []string {
	return m.roster.Successors(s.name, owner, m.cfg.Lease.Successors)
}

// rank is this host's position in the shard's order of preference.
func (m *Machine) rank(s *shardState) int {
	order := m.roster.PreferredOwners(s.name)
	position := slices.Index(order, m.cfg.Host)
	if position < 0 {
		return len(order)
	}
	return position
}

// claimDelay is how long the host at a position waits, so that hosts don't
// claim simultaneously.
func (m *Machine) claimDelay(position int) time.Duration {
	return time.Duration(position) * m.cfg.renew()
}

// claimsInFlight counts the claims without an answer.
func (m *Machine) claimsInFlight() int {
	n := 0
	for _, s := range m.shards {
		if s.claim != nil && s.commit != 0 {
			n++
		}
	}
	return n
}
