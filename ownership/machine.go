package ownership

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/roster"
)

// Machine decides for one entry host which shards it owns and which share of
// each it may use. All methods take the current time of the host's monotonic
// clock and return the actions to perform. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	flaws   flaws
	started time.Time

	roster roster.Roster
	// listedRevision is the revision of the newest list that contained this
	// host.
	listedRevision uint64
	// absent holds the hosts that the list has dropped.
	absent map[string]absence
	// relisted holds when the list named hosts again that it had dropped for so
	// long that other hosts may have succeeded them.
	relisted map[string]time.Time

	// session is this host's own session; sessions holds those of other hosts.
	session  sessionState
	sessions map[string]*observedSession
	shards   map[string]*shardState
	// sortedShards holds the names of the shards in sorted order.
	sortedShards []string

	nextID  uint64
	read    readState
	commits map[uint64]pendingCommit
	asks    map[uint64]pendingAsk
	// promisesAskedAt is when promises were last requested.
	promisesAskedAt time.Time
	// promisesGiven holds the time until which this host promised not to
	// succeed a process.
	promisesGiven map[Holder]time.Time

	// lastStepAt is the time of the last step; activeUntil is when the process
	// counts as paused if no further step occurs.
	lastStepAt, activeUntil time.Time
	// resumedAt is when the last pause of a session or more ended; zero for none.
	resumedAt time.Time

	// stopping is set once all shards are to be handed over.
	stopping   bool
	stoppingAt time.Time
	// maxStopMoves is the maximum number of concurrent moves while stopping.
	maxStopMoves int
	// pendingUpdates are to be sent to all entry hosts; remindedAt is when the
	// successors were last reminded.
	pendingUpdates []OwnerUpdate
	remindedAt     time.Time
	// inquiries holds the open inquiries by process.
	inquiries map[Holder]inquiry
	snapshot  *Snapshot
	actions   []Action
}

// New returns the machine of a process that started at now.
func New(cfg Config, now time.Time) *Machine {
	return &Machine{
		cfg:           cfg,
		started:       now,
		absent:        map[string]absence{},
		relisted:      map[string]time.Time{},
		sessions:      map[string]*observedSession{},
		shards:        map[string]*shardState{},
		commits:       map[uint64]pendingCommit{},
		asks:          map[uint64]pendingAsk{},
		promisesGiven: map[Holder]time.Time{},
		inquiries:     map[Holder]inquiry{},
		snapshot:      &Snapshot{},
	}
}

// SetRoster sets a new roster.
func (m *Machine) SetRoster(now time.Time, r roster.Roster) []Action {
	m.roster = r
	for _, h := range r.EntryHosts() {
		m.listedAgain(now, h.Name)
	}
	for host := range m.sessions {
		if _, ok := m.absent[host]; !ok && !r.Listed(host) {
			m.absent[host] = absence{since: now, revision: r.Revision()}
		}
	}
	if r.Listed(m.cfg.Host) {
		m.listedRevision = r.Revision()
	}
	for _, name := range r.Shards() {
		if s := m.shard(name); s.readSentAt.IsZero() && s.minReadID == 0 {
			m.requestRead(s)
		}
	}
	return m.step(now)
}

// Tick handles elapsed time. The driver calls it several times per renewal
// interval.
func (m *Machine) Tick(now time.Time) []Action { return m.step(now) }

// HandOver starts a planned stop: all shards are drained and released, and no
// new ones are claimed. It is irreversible.
func (m *Machine) HandOver(now time.Time) []Action {
	m.stopping = true
	m.stoppingAt = now
	m.maxStopMoves = m.fractionOfOwned(handOverBatches)
	m.session.renewNow = true
	// The session of any host that may receive a shard must be known.
	m.read.full = true
	return m.step(now)
}

// fractionOfOwned returns the number of this host's shards divided by parts,
// rounded up, and at least 1.
func (m *Machine) fractionOfOwned(parts int) int {
	owned := 0
	for _, name := range m.sortedShards {
		if m.owns(m.shards[name]) {
			owned++
		}
	}
	return max(1, (owned+parts-1)/parts)
}

// HandedOver reports whether this host neither owns nor uses any shard.
func (m *Machine) HandedOver() bool {
	for _, name := range m.sortedShards {
		s := m.shards[name]
		if m.owns(s) || s.usedEpoch != 0 {
			return false
		}
	}
	return true
}

// step performs all decisions that are due.
func (m *Machine) step(now time.Time) []Action {
	m.detectPause(now)
	m.renewSession(now)
	m.readRows(now)
	claims := m.claimsInFlight()
	moves := m.movesInFlight()
	for _, name := range m.sortedShards {
		s := m.shards[name]
		m.stopIfLost(s)
		m.dropVoidClaim(now, s)
		if m.owns(s) {
			moves += m.maintain(now, s, moves)
			continue
		}
		if claims < maxClaims && m.maybeClaim(now, s) {
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

// detectPause ends the use of all shards after a pause of a session or more.
// The list may have dropped this host in the meantime and other hosts may have
// acted on that, even if the host is listed again.
func (m *Machine) detectPause(now time.Time) {
	session := m.cfg.Lease.Session.D()
	paused := !m.lastStepAt.IsZero() && now.Sub(m.lastStepAt) >= session
	m.lastStepAt = now
	if m.activeUntil.Sub(now) < session/2 {
		m.activeUntil = now.Add(session)
	}
	if !paused || m.flaws.resumePaused {
		return
	}
	m.resumedAt = now
	for _, s := range m.shards {
		// The use starts again once the row has been read under a session.
		s.inUse = false
	}
}

// maintain handles a shard that this host owns. It returns the number of moves
// that it started.
func (m *Machine) maintain(now time.Time, s *shardState, moves int) int {
	m.startUse(now, s)
	m.confirm(now, s)
	if s.move != nil {
		m.release(now, s)
		return 0
	}
	return m.maybeMove(now, s, moves)
}

// shard returns the state of a shard, and creates it if necessary.
func (m *Machine) shard(name string) *shardState {
	if s, ok := m.shards[name]; ok {
		return s
	}
	s := newShardState(name)
	m.shards[name] = s
	at, _ := slices.BinarySearch(m.sortedShards, name)
	m.sortedShards = slices.Insert(m.sortedShards, at, name)
	return s
}

// self returns this process as a Holder.
func (m *Machine) self() Holder {
	return Holder{Host: m.cfg.Host, Incarnation: m.cfg.Incarnation, Revision: m.listedRevision, Bounds: m.cfg.bounds()}
}

// owns reports whether the newest known row names this process as the owner.
func (m *Machine) owns(s *shardState) bool {
	return s.exists() && s.row.Owner.is(m.self())
}

// verified reports whether the row was read by a request sent after the session
// was last opened. While that session lives, no other host can have claimed the
// shard since.
func (m *Machine) verified(s *shardState) bool {
	if m.flaws.noReread {
		return true
	}
	return !m.session.openedAt.IsZero() && !s.readSentAt.Before(m.session.openedAt)
}

// dropped reports whether the membership list has dropped the host of h since h
// was listed, and since when this machine has known it. It records the drop if
// it was not known yet.
func (m *Machine) dropped(now time.Time, h Holder) (time.Time, bool) {
	if !m.roster.Known() || m.roster.Listed(h.Host) || m.roster.Revision() <= h.Revision {
		return time.Time{}, false
	}
	a, ok := m.absent[h.Host]
	if !ok || a.revision <= h.Revision {
		// An earlier drop doesn't apply to a process that was listed later.
		a = absence{since: now, revision: m.roster.Revision()}
		m.absent[h.Host] = a
	}
	return a.since, true
}

// listedAgain handles that the list contains a host.
func (m *Machine) listedAgain(now time.Time, host string) {
	a, ok := m.absent[host]
	if !ok {
		return
	}
	delete(m.absent, host)
	if m.droppedForLong(now, host, a) {
		m.relisted[host] = now
	}
}

// droppedForLong reports whether other hosts may have succeeded a host because
// the list dropped it. They may once that was two sessions ago, and may have read
// the list a session earlier than this host.
func (m *Machine) droppedForLong(now time.Time, host string, a absence) bool {
	var h Holder
	if o := m.sessions[host]; o != nil {
		h.Bounds = o.bounds
	}
	return now.Sub(a.since) >= m.lapseTimeOf(h)
}

// absence records that a host is missing from the membership list.
type absence struct {
	since time.Time
	// revision is the revision of the first list without the host.
	revision uint64
}

// excluded reports whether this process must not use any shard, because it was
// replaced or because the list has dropped it.
func (m *Machine) excluded() bool {
	if m.session.replaced {
		return true
	}
	return m.listedRevision != 0 && !m.roster.Listed(m.cfg.Host)
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// newID returns a new request ID.
func (m *Machine) newID() uint64 {
	m.nextID++
	return m.nextID
}
