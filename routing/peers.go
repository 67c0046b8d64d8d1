package routing

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// digestLife is how long a peer's digest is believed without another one.
const digestLife = 2 * time.Second

// Peers holds what other entry hosts last said of their free slots.
type Peers struct {
	zone string
	all  map[string]*digest
	// names is the peers in a fixed order, so that choices depend on the
	// randomness passed in only.
	names []string
}

type digest struct {
	zone string
	free map[string]int
	at   time.Time
}

// NewPeers returns the empty knowledge of a host in zone.
func NewPeers(zone string) *Peers {
	return &Peers{zone: zone, all: map[string]*digest{}}
}

// Update takes a peer's free slots by service in, NoShare for services that it
// can't serve; whole says the same of services left out.
func (p *Peers) Update(now time.Time, peer, zone string, free map[string]int, whole bool) {
	d := p.all[peer]
	if d == nil {
		d = &digest{free: map[string]int{}}
		p.all[peer] = d
		p.names = slices.Sorted(maps.Keys(p.all))
	}
	if whole {
		clear(d.free)
	}
	maps.Copy(d.free, free)
	d.zone = zone
	d.at = now
}

// SetFree sets one service's free slots as a peer's answer just gave them.
func (p *Peers) SetFree(peer, service string, free int) {
	if d := p.all[peer]; d != nil {
		d.free[service] = free
	}
}

// Remove forgets a peer.
func (p *Peers) Remove(peer string) {
	delete(p.all, peer)
	p.names = slices.Sorted(maps.Keys(p.all))
}

// Serving reports whether a peer has lately said that it may serve the service,
// if only when a slot becomes free.
func (p *Peers) Serving(now time.Time, service string) bool {
	for _, d := range p.all {
		if free, said := d.free[service]; said && free != NoShare && now.Sub(d.at) <= digestLife {
			return true
		}
	}
	return false
}

// Choose takes one free slot of a peer: the one with more free of two random
// choices weighted by free slots, in the same zone if any has one there. The
// digest is counted down so that a burst does not follow one stale number.
func (p *Peers) Choose(now time.Time, service string, rng *rand.Rand, exclude []string) (string, bool) {
	near, far := p.candidates(now, service, exclude)
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", false
	}
	a, b := p.weighted(near, service, rng), p.weighted(near, service, rng)
	if p.all[b].free[service] > p.all[a].free[service] {
		a = b
	}
	p.all[a].free[service]--
	return a, true
}

func (p *Peers) candidates(now time.Time, service string, exclude []string) (near, far []string) {
	for _, name := range p.names {
		d := p.all[name]
		if d.free[service] <= 0 || now.Sub(d.at) > digestLife || slices.Contains(exclude, name) {
			continue
		}
		if d.zone == p.zone {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	return near, far
}

// weighted draws one name with a chance proportional to its free slots.
func (p *Peers) weighted(names []string, service string, rng *rand.Rand) string {
	total := 0
	for _, n := range names {
		total += p.all[n].free[service]
	}
	at := rng.IntN(total)
	for _, n := range names {
		at -= p.all[n].free[service]
		if at < 0 {
			return n
		}
	}
	return names[len(names)-1]
}
