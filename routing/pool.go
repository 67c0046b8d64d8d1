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
}

// group is the endpoints of one service.
type group struct {
	backends []*backend
	// free is scratch space for one Acquire.
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

// SetEndpoints replaces the list of endpoints. Endpoints that were in the list keep
// their slots in use and their estimates. Endpoints that join later than the
// first list start slowly.
func (p *Pool) SetEndpoints(now time.Time, endpoints []Endpoint) {
	for _, b := range p.byName {
		b.gone = true
	}
	for _, e := range endpoints {
		p.put(now, e)
	}
	p.started = p.started || len(endpoints) > 0
	p.index()
}

func (p *Pool) put(now time.Time, e Endpoint) {
	b, known := p.byName[e.Name]
	if !known {
		b = newBackend(e)
		p.byName[e.Name] = b
		if p.started {
			b.rampFrom = now
		}
	}
	b.Endpoint = e
	b.gone = false
}

// index drops endpoints that are gone and idle, and groups the rest. One that
// is gone with slots in use is kept, so that its return finds them counted.
func (p *Pool) index() {
	p.services = map[string]*group{}
	for name, b := range p.byName {
		if b.gone {
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
func (p *Pool) allowed(now time.Time, b *backend, view *ownership.Snapshot) int {
	g, ok := view.Grants[b.Shard]
	if !ok {
		return 0
	}
	return g.At(now).Of(b.UsableSlots())
}

// Acquire takes a slot of the better of two random endpoints that have one
// free, or returns nil.
func (p *Pool) Acquire(now time.Time, service string, view *ownership.Snapshot, rng *rand.Rand) *Slot {
	g := p.services[service]
	if g == nil {
		return nil
	}
	g.free = g.free[:0]
	for _, b := range g.backends {
		if allowed, n := p.room(now, b, view); n > 0 {
			g.free = append(g.free, candidate{b, b.score(allowed, p.cfg)})
		}
	}
	if len(g.free) == 0 {
		return nil
	}
	chosen := better(g.free, rng)
	chosen.inUse++
	chosen.writing++
	return &Slot{backend: chosen, writing: true}
}

// better returns the one of two random candidates with the lower score.
func better(free []candidate, rng *rand.Rand) *backend {
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

// room returns how many slots of b the grant allows, and how many of them may
// be taken now.
func (p *Pool) room(now time.Time, b *backend, view *ownership.Snapshot) (allowed, free int) {
	if b.Leaving || b.ejected(now) {
		return 0, 0
	}
	allowed = p.allowed(now, b, view)
	limit := b.limit(now, allowed, p.cfg.SlowStart)
	window := WriteWindow(b.UsableSlots()) - b.writing
	return allowed, min(limit-b.inUse, window)
}

// MayWrite reports whether the request that holds the slot may still be
// written: it is asked just before the first byte, since the grant may have
// lapsed after Acquire.
func (p *Pool) MayWrite(now time.Time, s *Slot, view *ownership.Snapshot) bool {
	b := s.backend
	if b.Leaving || b.gone || s.released {
		return false
	}
	return b.inUse <= p.allowed(now, b, view)
}

// WriteDone ends the slot's time in the write window. It may be called twice.
func (p *Pool) WriteDone(s *Slot) {
	if !s.writing {
		return
	}
	s.writing = false
	s.backend.writing--
}

// Release frees the slot once the endpoint is surely done with the request.
// It may be called twice.
func (p *Pool) Release(s *Slot) {
	if s.released {
		return
	}
	p.WriteDone(s)
	s.released = true
	s.backend.inUse--
	if s.backend.gone && s.backend.inUse == 0 && p.byName[s.backend.Name] == s.backend {
		delete(p.byName, s.backend.Name)
	}
}
