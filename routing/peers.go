package routing

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// digestTTL is how long a peer's digest is valid.
const digestTTL = 2 * time.Second

// Peers holds the free slots that other entry hosts last reported.
type Peers struct {
	zone   string
	byName map[string]*digest
	// names lists the peers in a fixed order, so that choices depend only on
	// the source of randomness.
	names []string
}

// digest holds the free slots by service that one peer last reported.
type digest struct {
	zone      string
	free      map[string]int
	updatedAt time.Time
}

// NewPeers returns an empty Peers for a host in zone.
func NewPeers(zone string) *Peers {
	return &Peers{zone: zone, byName: map[string]*digest{}}
}

// Update records a peer's free slots by service, NoShare for services that it
// cannot serve. If full is set, it cannot serve services missing from free
// either.
func (p *Peers) Update(now time.Time, peer, zone string, free map[string]int, full bool) {
	d := p.byName[peer]
	if d == nil {
		d = &digest{free: map[string]int{}}
		p.byName[peer] = d
		p.names = slices.Sorted(maps.Keys(p.byName))
	}
	if full {
		clear(d.free)
	}
	maps.Copy(d.free, free)
	d.zone = zone
	d.updatedAt = now
}

// SetFree sets the free slots of one service from a peer's reply.
func (p *Peers) SetFree(peer, service string, free int) {
	if d := p.byName[peer]; d != nil {
		d.free[service] = free
	}
}

// Remove removes a peer.
func (p *Peers) Remove(peer string) {
	delete(p.byName, peer)
	p.names = slices.Sorted(maps.Keys(p.byName))
}

// Serving reports whether a peer has recently reported that it may use
// endpoints of the service, even if none has a free slot.
func (p *Peers) Serving(now time.Time, service string) bool {
	for _, d := range p.byName {
		if free, ok := d.free[service]; ok && free != NoShare && now.Sub(d.updatedAt) <= digestTTL {
			return true
		}
	}
	return false
}

// Choose takes one free slot of a peer. It draws two peers, weighted by their
// free slots and in the same zone if any there has one, and returns the one
// with more free slots. It decrements the recorded number, so that a burst does
// not overload one peer until its next digest.
func (p *Peers) Choose(now time.Time, service string, rng *rand.Rand, exclude []string) (string, bool) {
	near, far := p.candidates(now, service, exclude)
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", false
	}
	a, b := p.pickWeighted(near, service, rng), p.pickWeighted(near, service, rng)
	if p.byName[b].free[service] > p.byName[a].free[service] {
		a = b
	}
	p.byName[a].free[service]--
	return a, true
}

func (p *Peers) candidates(now time.Time, service string, exclude []string) (near, far []string) {
	for _, name := range p.names {
		d := p.byName[name]
		if d.free[service] <= 0 || now.Sub(d.updatedAt) > digestTTL || slices.Contains(exclude, name) {
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

// pickWeighted returns a random name with a probability proportional to its
// free slots.
func (p *Peers) pickWeighted(names []string, service string, rng *rand.Rand) string {
	total := 0
	for _, n := range names {
		total += p.byName[n].free[service]
	}
	at := rng.IntN(total)
	for _, n := range names {
		at -= p.byName[n].free[service]
		if at < 0 {
			return n
		}
	}
	return names[len(names)-1]
}
