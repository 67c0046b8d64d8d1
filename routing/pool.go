package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/ownership"
)

// Pool holds the endpoints that this host may dispatch to.
type Pool struct {
	cfg      Config
	byName   map[string]*backend
	services map[string]*group
	started  bool
	// closedZones are the availability zones whose endpoints get no new requests.
	closedZones []string
}

// group holds the endpoints of one service.
type group struct {
	backends []*backend
	// free is scratch space of Acquire.
	free []candidate
}

// candidate is an endpoint with a free slot.
type candidate struct {
	backend *backend
	score   float64
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, byName: map[string]*backend{}, services: map[string]*group{}}
}

// SetEndpoints replaces the list of endpoints. Endpoints that stay in the list
// keep their slots in use, and their statistics while they have the same address.
// Endpoints added after the first list, and those at another address, are in slow
// start.
func (p *Pool) SetEndpoints(now time.Time, endpoints []Endpoint) {
	for _, b := range p.byName {
		b.removed = true
	}
	for _, e := range endpoints {
		p.upsert(now, e)
	}
	p.started = p.started || len(endpoints) > 0
	p.rebuildServices()
}

func (p *Pool) upsert(now time.Time, e Endpoint) {
	b, known := p.byName[e.Name]
	if !known {
		b = newBackend(e)
		p.byName[e.Name] = b
	}
	if moved := b.list(e); p.started && (moved || !known) {
		b.slowStartAt = now
	}
}

// rebuildServices deletes removed endpoints that are idle, and groups the rest
// by service. A removed endpoint with slots in use is kept, so that these still
// count if it is added again.
func (p *Pool) rebuildServices() {
	p.services = map[string]*group{}
	for name, b := range p.byName {
		if b.removed {
			if b.inUse == 0 {
				delete(p.byName, name)
			}
			continue
		}
		g := p.services[b.Service]
		if g == nil {
			g = &group{}
			p.services[b.Service] = g
		}
		g.backends = append(g.backends, b)
	}
	for _, g := range p.services {
		slices.SortFunc(g.backends, func(a, b *backend) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
	}
}

// allowed returns how many slots of b the grant allows at now.
func (p *Pool) allowed(now time.Time, b *backend, snapshot *ownership.Snapshot) int {
	g, ok := snapshot.Grants[b.Shard]
	if !ok {
		return 0
	}
	return g.At(now).Of(b.UsableSlots())
}

// Acquire takes a slot of the endpoint with the lower score of two random ones
// with a free slot. It returns nil if there is none.
func (p *Pool) Acquire(now time.Time, service string, snapshot *ownership.Snapshot, rng *rand.Rand) *Slot {
	g := p.services[service]
	if g == nil {
		return nil
	}
	g.free = g.free[:0]
	for _, b := range g.backends {
		if allowed, n := p.available(now, b, snapshot); n > 0 {
			g.free = append(g.free, candidate{b, b.score(allowed, p.cfg)})
		}
	}
	if len(g.free) == 0 {
		return nil
	}
	chosen := pickBetter(g.free, rng)
	chosen.inUse++
	chosen.writing++
	return &Slot{backend: chosen, life: chosen.life, writing: true}
}

// pickBetter draws two candidates and returns the one with the lower score.
func pickBetter(free []candidate, rng *rand.Rand) *backend {
	i := rng.IntN(len(free))
	if len(free) == 1 {
		return free[i].backend
	}
	j := rng.IntN(len(free) - 1)
	if j >= i {
		j++
	}
	if free[j].score < free[i].score {
		i = j
	}
	return free[i].backend
}

// available returns how many slots of b the grant allows, and how many of them
// may be taken now.
func (p *Pool) available(now time.Time, b *backend, snapshot *ownership.Snapshot) (allowed, free int) {
	if p.getsNoRequests(b) || b.ejected(now) {
		return 0, 0
	}
	allowed = p.allowed(now, b, snapshot)
	limit := b.limit(now, allowed, p.cfg.SlowStart)
	window := WriteWindow(b.UsableSlots()) - b.writing
	return allowed, min(limit-b.inUse, window)
}

// MayWrite reports whether the request that holds the slot may still be
// written. It must be called right before the first byte, since the grant may
// have expired after Acquire.
func (p *Pool) MayWrite(now time.Time, s *Slot, snapshot *ownership.Snapshot) bool {
	b := s.backend
	if p.getsNoRequests(b) || b.removed || s.released {
		return false
	}
	return b.inUse <= p.allowed(now, b, snapshot)
}

// WriteDone ends the slot's time in the write window. It is idempotent.
func (p *Pool) WriteDone(s *Slot) {
	if !s.writing {
		return
	}
	s.writing = false
	s.backend.writing--
}

// Release frees the slot. It must be called only once the endpoint no longer
// processes the request. It is idempotent.
func (p *Pool) Release(s *Slot) {
	if s.released {
		return
	}
	p.WriteDone(s)
	s.released = true
	s.backend.inUse--
	if s.backend.removed && s.backend.inUse == 0 && p.byName[s.backend.Name] == s.backend {
		delete(p.byName, s.backend.Name)
	}
}
