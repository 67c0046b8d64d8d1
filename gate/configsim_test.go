package gate

import (
	goflag "flag"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// configSeeds is the number of seeds of TestNoHostGoesBack, configFirstSeed the first.
var (
	configSeeds     = goflag.Int("config-seeds", 20, "seeds of TestNoHostGoesBack")
	configFirstSeed = goflag.Int("config-first-seed", 0, "first seed of TestNoHostGoesBack")
)

// The simulation of TestNoHostGoesBack: phases of random faults, each followed by a calm
// one.
const (
	simPhases    = 4
	simDisturbed = 12 * time.Second
	simStep      = 20 * time.Millisecond
	// simBound is the time within which a host must serve while most hosts do that it
	// reaches: configBound, and a question to a silent peer.
	simBound = configBound + time.Second
)

// configSim disturbs a site at random and checks the versions in force.
type configSim struct {
	*configSite
	random *rand.Rand
	mu     sync.Mutex // guards newest
	// newest is the newest version that was in force on each host.
	newest map[string]uint64
	// servedSince is when each host's process had its first version, startedAt when it
	// started, storeSince when the host's access to the table last changed.
	servedSince, startedAt, storeSince map[*siteHost]time.Time
	// reachedSince is since when a host has reached each other one, and that one it.
	reachedSince map[*siteHost]map[*siteHost]time.Time
	// restartAt is when a host that was killed starts again.
	restartAt map[*siteHost]time.Time
}

// TestNoHostGoesBack checks with random faults that no host puts a version into force
// that is older than one which it had in force, also in an earlier process; that a host
// which starts without the store serves in time while most hosts serve and reach it;
// and that the newest version is in force on every host in time once the faults are
// over. Faults are killed processes, the store as each host sees it, links between hosts
// in one direction or both, slow links, lost answers and incomplete membership lists.
func TestNoHostGoesBack(t *testing.T) {
	for seed := range uint64(*configSeeds) {
		synctest.Test(t, func(t *testing.T) { simulateSite(t, uint64(*configFirstSeed)+seed) })
		if t.Failed() {
			return
		}
	}
}

func simulateSite(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	s := &configSim{
		configSite: newConfigSite(t, 3+random.IntN(5)), random: random, newest: map[string]uint64{},
		servedSince: map[*siteHost]time.Time{}, startedAt: map[*siteHost]time.Time{}, storeSince: map[*siteHost]time.Time{},
		reachedSince: map[*siteHost]map[*siteHost]time.Time{}, restartAt: map[*siteHost]time.Time{},
	}
	s.onApplied = s.applied
	for _, h := range s.hosts {
		s.reachedSince[h] = map[*siteHost]time.Time{}
		s.newest[h.name], _ = h.version()
	}
	for range simPhases {
		for end := time.Now().Add(simDisturbed); time.Now().Before(end); <-time.After(simStep) {
			s.disturb()
			s.checkServing()
		}
		s.calm()
		<-time.After(simBound)
		s.wantInForce(s.accepted(), s.hosts...)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// applied checks a version that a host puts into force.
func (s *configSim) applied(h *siteHost, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.newest[h.name] {
		s.t.Errorf("%s went from version %d to %d", h.name, s.newest[h.name], version)
	}
	s.newest[h.name] = max(s.newest[h.name], version)
}

// accepted returns the newest version that the store has accepted.
func (s *configSim) accepted() uint64 {
	store := s.hosts[0].process.Load().service.store
	head, err := store.Head(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	return head.Version
}

// chance reports true with a probability.
func (s *configSim) chance(p float64) bool { return s.random.Float64() < p }

// disturb begins or ends faults at random, and applies changes.
func (s *configSim) disturb() {
	if s.chance(0.004) {
		s.setStores(s.chance(0.8))
	}
	for _, h := range s.hosts {
		s.disturbProcess(h)
		s.disturbHost(h)
		for _, other := range s.hosts {
			if other != h && s.chance(0.004) {
				h.setCut(other, s.chance(0.1))
			}
		}
	}
	if s.chance(0.012) {
		s.change(s.hosts[s.random.IntN(len(s.hosts))])
	}
}

// disturbHost changes how a host sees the store and its peers.
func (s *configSim) disturbHost(h *siteHost) {
	if s.chance(0.004) {
		s.setStore(h, s.chance(0.5), s.chance(0.5))
	}
	if s.chance(0.003) {
		h.unlinked.Store(s.chance(0.1))
	}
	if s.chance(0.003) {
		h.hop.Store(0)
		if s.chance(0.1) {
			h.hop.Store(int64(time.Duration(s.random.IntN(250)) * time.Millisecond))
		}
	}
	if s.chance(0.003) {
		h.losing.Store(s.chance(0.1))
	}
	if s.chance(0.002) {
		s.setList(h, s.random.IntN(len(s.hosts)-1))
	}
}

// change applies a change at a host. It may cut the host off before, kill it soon after,
// and take the store down then.
func (s *configSim) change(h *siteHost) {
	newest, ok := h.version()
	if !ok || h.isolated() {
		return
	}
	if s.chance(0.3) {
		h.unlinked.Store(true)
		for _, other := range s.hosts {
			s.setStore(other, other != h, other != h)
		}
	}
	go func() { _ = h.apply(newest) }() // may fail: the store may be down
	if s.chance(0.5) {
		<-time.After(time.Duration(1+s.random.IntN(12_000)) * time.Microsecond)
		s.kill(h)
		h.unlinked.Store(false)
		s.setStores(s.chance(0.85))
	}
}

// disturbProcess kills the process of a host, or starts another one.
func (s *configSim) disturbProcess(h *siteHost) {
	at, down := s.restartAt[h]
	switch {
	case down && !time.Now().Before(at):
		s.restart(h)
	case !down && s.chance(0.0005):
		s.kill(h)
	}
}

// kill kills the process of a host, which starts again at once or within seconds.
func (s *configSim) kill(h *siteHost) {
	h.kill()
	s.restartAt[h] = time.Now().Add(time.Duration(s.random.IntN(2)*s.random.IntN(4000)) * time.Millisecond)
}

// restart starts a process of a host.
func (s *configSim) restart(h *siteHost) {
	delete(s.restartAt, h)
	delete(s.servedSince, h)
	<-time.After(s.apart())
	s.startedAt[h] = time.Now()
	h.start()
}

// setStores makes the store unavailable or available to all hosts.
func (s *configSim) setStores(down bool) {
	for _, h := range s.hosts {
		s.setStore(h, down, down)
	}
}

// setStore makes the table and the objects unavailable or available to a host.
func (s *configSim) setStore(h *siteHost, table, objects bool) {
	if h.tableDown.Swap(table) != table {
		s.storeSince[h] = time.Now()
	}
	h.objectsDown.Store(objects)
}

// setList gives a host a membership list that lacks some of the other hosts. Each other
// host gets a complete one.
func (s *configSim) setList(h *siteHost, lacking int) {
	for _, host := range s.hosts {
		others := slices.DeleteFunc(slices.Clone(s.names), func(name string) bool { return name == host.name })
		if host == h {
			s.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
			others = others[lacking:]
		}
		host.list(others)
	}
}

// calm ends all faults.
func (s *configSim) calm() {
	for _, h := range s.hosts {
		s.setStore(h, false, false)
		h.hop.Store(0)
		h.losing.Store(false)
		h.unlinked.Store(false)
		h.cut.Clear()
		if _, down := s.restartAt[h]; down {
			s.restart(h)
		}
	}
	s.setList(s.hosts[0], 0)
}
