package ownership

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// considerClaim claims a shard that this host does not own, if it may. It
// reports whether a claim was sent.
func (m *Machine) considerClaim(now time.Time, s *shardState) bool {
	if !m.mayClaim(now, s) {
		return false
	}
	switch {
	case !s.exists() || s.row.Owner.Host == "":
		return m.claimVacant(now, s)
	case s.row.Owner.Host == m.cfg.Host:
		return m.reclaim(now, s)
	default:
		return m.succeed(now, s)
	}
}

// mayClaim reports whether claims of a shard are in order at all.
func (m *Machine) mayClaim(now time.Time, s *shardState) bool {
	switch {
	case m.stopping, m.excluded(), !m.roster.LiveHost(m.cfg.Host):
		return false
	case len(m.roster.Members(s.name)) == 0:
		return false
	case !m.sessionLive(now), !m.verified(s):
		return false
	case now.Before(s.givenUntil) && !m.flaws.ignorePromises:
		return false
	case s.commit != 0, s.row.Epoch < s.stoppedBelow:
		return false
	case s.claim != nil && !s.readAt.After(s.claim.sentAt):
		// The row must be read back before the claim is sent again.
		return false
	default:
		return m.mayTry(now, s)
	}
}

// mayTry spaces the writes of one shard's row.
func (m *Machine) mayTry(now time.Time, s *shardState) bool {
	return s.triedAt.IsZero() || now.Sub(s.triedAt) >= m.cfg.renew()/2
}

// claimVacant claims a shard without an owner. Hosts that are less preferred
// wait longer, in case the preferred ones are not there.
func (m *Machine) claimVacant(now time.Time, s *shardState) bool {
	if s.wantedAt.IsZero() {
		s.wantedAt = now
	}
	wait := time.Duration(m.rank(s)) * m.cfg.Lease.Session.D()
	if now.Sub(s.wantedAt) < wait {
		return false
	}
	if now.Sub(s.readAt) > renewalsPerRead*m.cfg.renew() {
		// Another host may have claimed it; a read costs less than a write.
		m.look(s)
		return false
	}
	// A release to nobody may have left an earlier owner to wait for.
	row := ShardRow{Seized: s.row.Seized}
	if !m.previousCleared(now, s) {
		row.Unconfirmed = s.row.Unconfirmed
	}
	m.sendClaim(now, s, row, nil)
	return true
}

// reclaim claims a shard that an earlier process of this host owned. That
// process is over; what it had in flight may not be.
func (m *Machine) reclaim(now time.Time, s *shardState) bool {
	if m.session.inFlight {
		return false
	}
	if !m.previousCleared(now, s) {
		m.askPrevious(now, s)
		return false
	}
	// A still later process of this host must win.
	own := infra.Condition{Key: SessionKey(m.cfg.Host), Version: m.session.version}
	m.sendClaim(now, s, ShardRow{Seized: true}, &own)
	return true
}

// succeed claims a shard from another host whose session has lapsed.
func (m *Machine) succeed(now time.Time, s *shardState) bool {
	l, ok := m.lapsed(now, s)
	if !ok {
		return false
	}
	if !m.previousCleared(now, s) && !m.flaws.noSecondWait {
		m.askPrevious(now, s)
		return false
	}
	if !m.entitled(now, s, l) {
		return false
	}
	m.sendClaim(now, s, m.seizure(now, s, l), l.condition)
	return true
}

// seizure returns the row of a shard taken over without a release.
func (m *Machine) seizure(now time.Time, s *shardState, l lapse) ShardRow {
	if !s.endpoint {
		// Nothing of a worker shard is shared with the previous owner.
		return ShardRow{Seized: true}
	}
	since, gone := m.dropped(now, s.row.Owner)
	if gone && now.Sub(since) >= m.goneAfter(s.row.Owner) {
		return ShardRow{}
	}
	if l.superseded {
		return ShardRow{Seized: true}
	}
	previous := s.row.Owner
	return ShardRow{Seized: true, Unconfirmed: &previous}
}

// entitled reports whether this host may succeed a shard's owner now: as a
// named successor whose promise has lapsed, or on the word of the membership
// list.
func (m *Machine) entitled(now time.Time, s *shardState, l lapse) bool {
	if since, gone := m.dropped(now, s.row.Owner); gone && !now.Before(since.Add(m.forgotten(s.row.Owner))) {
		return !now.Before(l.at.Add(m.turn(m.rank(s))))
	}
	place := slices.Index(s.row.Successors, m.cfg.Host)
	if place < 0 || now.Before(l.at.Add(m.turn(place))) {
		return false
	}
	if m.flaws.ignorePromises {
		return true
	}
	// An earlier process of this host may have promised.
	return !now.Before(m.started.Add(m.lapseOf(s.row.Owner))) && !now.Before(m.given[s.row.Owner.process()])
}

// forgotten is how long after the list has dropped the owner of a shard anyone
// may succeed it. The owner and its successors may read the list later than
// this host, for which one session is allowed; the newest promise to the owner,
// or a short pause of its process, lasts for another.
func (m *Machine) forgotten(owner Holder) time.Duration {
	if m.flaws.noDropWait {
		return 0
	}
	return 2 * m.lapseOf(owner)
}

// lapseOf is how long a process lives, and promises to it last, without a sign
// of life.
func (m *Machine) lapseOf(h Holder) time.Duration {
	if m.flaws.ownBounds {
		return m.cfg.lapse(Bounds{})
	}
	return m.cfg.lapse(h.Bounds)
}

// drainedOf is how long after a process stopped nothing of it is in flight.
func (m *Machine) drainedOf(maxRun time.Duration) time.Duration {
	if m.flaws.ownBounds {
		return m.cfg.drained(0)
	}
	return m.cfg.drained(maxRun)
}

// lapse is the finding that an owner's session has lapsed.
type lapse struct {
	// at is since when.
	at time.Time
	// condition holds as long as the owner has not renewed it since; nil
	// when the owner's process was superseded and cannot.
	condition *infra.Condition
	// superseded is set when a later process of the owner's host runs.
	superseded bool
}

// lapsed reports whether the session of a shard's owner has lapsed, by this
// host's own clock.
func (m *Machine) lapsed(now time.Time, s *shardState) (lapse, bool) {
	owner := s.row.Owner
	o := m.sessions[owner.Host]
	if o == nil || now.Sub(o.lookedAt) > 2*renewalsPerRead*m.cfg.renew() {
		// Nothing is known of it yet.
		return lapse{}, false
	}
	if o.supersedes(owner, s.version) {
		l := lapse{at: o.incarnationSince.Add(m.lapseOf(owner)), superseded: true}
		return l, !now.Before(l.at)
	}
	l := lapse{at: o.since.Add(m.lapseOf(owner))}
	if !m.flaws.noSessionCondition {
		l.condition = &infra.Condition{Key: SessionKey(owner.Host), Version: o.version}
	}
	return l, !now.Before(l.at)
}

// supersedes reports whether the session is held by a later process of h's
// host than h, which had owned a shard when its row got the version.
func (o *observed) supersedes(h Holder, version uint64) bool {
	return o.incarnation != "" && o.incarnation != h.Incarnation && o.version > version
}

// sendClaim sends a claim. Seized and Unconfirmed are taken from row.
func (m *Machine) sendClaim(now time.Time, s *shardState, row ShardRow, condition *infra.Condition) {
	row.Owner = m.self()
	if row.Seized {
		row.MaxRun = s.inFlightBound()
	}
	row.Epoch = s.row.Epoch + 1
	row.Successors = m.successors(s, m.cfg.Host)
	doubtful := s.claim != nil && s.claim.doubtful
	s.claim = &claim{sentAt: now, doubtful: doubtful, condition: condition}
	var also []infra.Condition
	if condition != nil {
		also = append(also, *condition)
	}
	m.writeShard(now, s, commitClaim, row, also...)
}

// settleClaim forgets a claim that can no longer take effect, because the
// session that it depends on was renewed. Session versions only rise, so the
// earlier attempts are void as well.
func (m *Machine) settleClaim(s *shardState) {
	if s.claim == nil || s.commit != 0 || s.claim.condition == nil {
		return
	}
	o := m.sessions[hostOfKey(s.claim.condition.Key)]
	if o != nil && o.version > s.claim.condition.Version {
		s.claim = nil
	}
}

// successors returns who may succeed a shard's owner without the list's word.
func (m *Machine) successors(s *shardState, owner string) []string {
	return m.roster.Successors(s.name, owner, m.cfg.Lease.Successors)
}

// rank is this host's place in the order of preference for a shard.
func (m *Machine) rank(s *shardState) int {
	order := m.roster.PreferredOwners(s.name)
	at := slices.Index(order, m.cfg.Host)
	if at < 0 {
		return len(order)
	}
	return at
}

// turn is how long the host in this place waits, so that hosts do not claim at
// once.
func (m *Machine) turn(place int) time.Duration {
	return time.Duration(place) * m.cfg.renew()
}

// claimsUnderWay counts the claims sent and not answered.
func (m *Machine) claimsUnderWay() int {
	n := 0
	for _, s := range m.shards {
		if s.claim != nil && s.commit != 0 {
			n++
		}
	}
	return n
}
