package ownership

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/roster"
)

// Machine decides for one entry host which shards it owns and how much of them
// it may use. Every method takes the time of the host's monotonic clock and
// returns what is to be done. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	flaws   flaws
	started time.Time

	roster roster.Roster
	// listedAt is the revision of the newest list that this host stood on.
	listedAt uint64
	// absent are the hosts that the list has dropped.
	absent map[string]absence

	session  sessionState
	sessions map[string]*observed
	shards   map[string]*shardState
	// names are the shards' names in order.
	names []string

	nextID  uint64
	read    readState
	commits map[uint64]pendingCommit
	asks    map[uint64]pendingAsk
	// askedPromise is when promises were last asked for.
	askedPromise time.Time
	// given is until when this host promised not to succeed a process.
	given map[Holder]time.Time

	// steppedAt is when the machine last decided; awakeUntil is when its
	// process counts as paused unless it decides again.
	steppedAt, awakeUntil time.Time

	// stopping is set once every shard is to be handed over.
	stopping   bool
	stoppingAt time.Time
	// stopMoves is how many shards are handed over at a time then.
	stopMoves int
	// news are owners to be told to every entry host; remindedAt is when the
	// successors were last reminded.
	news       []OwnerUpdate
	remindedAt time.Time
	// inquiries are the processes that somebody asks after.
	inquiries map[Holder]inquiry
	view      *Snapshot
	actions   []Action
}

// New returns the machine of a process that started at now.
func New(cfg Config, now time.Time) *Machine {
	return &Machine{
		cfg:       cfg,
		started:   now,
		absent:    map[string]absence{},
		sessions:  map[string]*observed{},
		shards:    map[string]*shardState{},
		commits:   map[uint64]pendingCommit{},
		asks:      map[uint64]pendingAsk{},
		given:     map[Holder]time.Time{},
		inquiries: map[Holder]inquiry{},
		view:      &Snapshot{},
	}
}

// SetRoster takes a new roster in.
func (m *Machine) SetRoster(now time.Time, r roster.Roster) []Action {
	m.roster = r
	for _, h := range r.EntryHosts() {
		delete(m.absent, h.Name)
	}
	for host := range m.sessions {
		if _, ok := m.absent[host]; !ok && !r.Listed(host) {
			m.absent[host] = absence{since: now, revision: r.Revision()}
		}
	}
	if r.Listed(m.cfg.Host) {
		m.listedAt = r.Revision()
	}
	for _, name := range r.Shards() {
		if s := m.shard(name); s.readAt.IsZero() && s.lookFrom == 0 {
			m.look(s)
		}
	}
	return m.step(now)
}

// Tick lets time pass. The driver calls it several times per renewal.
func (m *Machine) Tick(now time.Time) []Action { return m.step(now) }

// HandOver begins a planned stop: every shard is drained and released, and
// none is taken any more. It cannot be undone.
func (m *Machine) HandOver(now time.Time) []Action {
	m.stopping = true
	m.stoppingAt = now
	m.stopMoves = m.shareOfOwn(stopMoves)
	m.session.again = true
	// Any host may be an heir.
	m.read.full = true
	return m.step(now)
}

// shareOfOwn returns one in parts of the shards that this host owns, at least
// one.
func (m *Machine) shareOfOwn(parts int) int {
	own := 0
	for _, name := range m.names {
		if m.mine(m.shards[name]) {
			own++
		}
	}
	return max(1, (own+parts-1)/parts)
}

// HandedOver reports whether this host owns nothing and uses nothing.
func (m *Machine) HandedOver() bool {
	for _, name := range m.names {
		s := m.shards[name]
		if m.mine(s) || s.usedEpoch != 0 {
			return false
		}
	}
	return true
}

// step decides everything that the newest input or the time calls for.
func (m *Machine) step(now time.Time) []Action {
	m.noticePause(now)
	m.renewSession(now)
	m.readRows(now)
	claims := m.claimsUnderWay()
	moves := m.movesUnderWay()
	for _, name := range m.names {
		s := m.shards[name]
		m.stopIfLost(s)
		m.settleClaim(s)
		if m.mine(s) {
			moves += m.tend(now, s, moves)
			continue
		}
		if claims < maxClaims && m.considerClaim(now, s) {
			claims++
		}
	}
	m.askPromises(now)
	m.announce(now)
	m.publish(now)
	actions := m.actions
	m.actions = nil
	return actions
}

// noticePause ends the use of every shard after a pause of a session or more:
// the list may have dropped this host meanwhile, and others may count on that,
// though it has it again.
func (m *Machine) noticePause(now time.Time) {
	session := m.cfg.Lease.Session.D()
	paused := !m.steppedAt.IsZero() && now.Sub(m.steppedAt) >= session
	m.steppedAt = now
	if m.awakeUntil.Sub(now) < session/2 {
		m.awakeUntil = now.Add(session)
	}
	if !paused || m.flaws.resumePaused {
		return
	}
	for _, s := range m.shards {
		// It begins again once its row was read under a session.
		s.begun = false
	}
}

// tend looks after a shard that this host owns. It returns how many moves it
// began.
func (m *Machine) tend(now time.Time, s *shardState, moves int) int {
	m.begin(now, s)
	m.confirm(now, s)
	if s.move != nil {
		m.release(now, s)
		return 0
	}
	return m.considerMove(now, s, moves)
}

// shard returns the state of a shard, new if it was not known.
func (m *Machine) shard(name string) *shardState {
	if s, ok := m.shards[name]; ok {
		return s
	}
	s := newShardState(name)
	m.shards[name] = s
	at, _ := slices.BinarySearch(m.names, name)
	m.names = slices.Insert(m.names, at, name)
	return s
}

// self names this process.
func (m *Machine) self() Holder {
	return Holder{Host: m.cfg.Host, Incarnation: m.cfg.Incarnation, Revision: m.listedAt, Bounds: m.cfg.bounds()}
}

// mine reports whether the newest row known names this process as the owner.
func (m *Machine) mine(s *shardState) bool {
	return s.exists() && s.row.Owner.is(m.self())
}

// verified reports whether the row was seen by a request sent after the
// session was last opened. While that session lives nobody can have claimed
// the shard since.
func (m *Machine) verified(s *shardState) bool {
	if m.flaws.noReread {
		return true
	}
	return !m.session.openedAt.IsZero() && !s.readAt.Before(m.session.openedAt)
}

// dropped reports whether the membership list has dropped a host, and since
// when this machine knows.
func (m *Machine) dropped(now time.Time, h Holder) (time.Time, bool) {
	if !m.roster.Known() || m.roster.Listed(h.Host) || m.roster.Revision() <= h.Revision {
		return time.Time{}, false
	}
	a, ok := m.absent[h.Host]
	if !ok || a.revision <= h.Revision {
		// An earlier drop says nothing of a process that was listed since.
		a = absence{since: now, revision: m.roster.Revision()}
		m.absent[h.Host] = a
	}
	return a.since, true
}

// absence is the finding that the membership list lacks a host.
type absence struct {
	since time.Time
	// revision is that of the list that lacked it.
	revision uint64
}

// excluded reports whether this process must use nothing: it was replaced, or
// the list has dropped it.
func (m *Machine) excluded() bool {
	if m.session.replaced {
		return true
	}
	return m.listedAt != 0 && !m.roster.Listed(m.cfg.Host)
}

// emit adds an action.
func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// newID returns an identifier for a request.
func (m *Machine) newID() uint64 {
	m.nextID++
	return m.nextID
}
