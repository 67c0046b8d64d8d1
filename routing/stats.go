package routing

import (
	"time"

	"github.com/fireflygate/fireflygate/ownership"
)

// FreeByService returns the free slots by service. Services without endpoints here are
// absent.
func (p *Pool) FreeByService(now time.Time, view *ownership.Snapshot) map[string]int {
	free := make(map[string]int, len(p.services))
	for name := range p.services {
		free[name] = p.FreeSlots(now, name, view)
	}
	return free
}

// NoShare in place of a number of free slots says that a host may use none of
// the service's endpoints: it can't serve, however few requests there are.
const NoShare = -1

// FreeSlots returns the free slots of one service, NoShare if the grants allow
// none of its endpoints.
func (p *Pool) FreeSlots(now time.Time, service string, view *ownership.Snapshot) int {
	g := p.services[service]
	if g == nil {
		return NoShare
	}
	sum, share := 0, false
	for _, b := range g.backends {
		share = share || p.allowed(now, b, view) > 0
		if _, n := p.room(now, b, view); n > 0 {
			sum += n
		}
	}
	if !share {
		return NoShare
	}
	return sum
}

// InUse returns the slots in use of a shard's endpoints, of all shards for
// the empty name.
func (p *Pool) InUse(shard string) int {
	sum := 0
	for _, b := range p.byName {
		if shard == "" || b.Shard == shard {
			sum += b.inUse
		}
	}
	return sum
}

// Ejected returns how many endpoints are ejected at now.
func (p *Pool) Ejected(now time.Time) int {
	n := 0
	for _, b := range p.byName {
		if b.ejected(now) {
			n++
		}
	}
	return n
}

// Rate estimates how many requests of a service this host's endpoints finish
// per second when all its slots are in use, and how long one takes. The rate
// is 0 when it has no slots of the service.
func (p *Pool) Rate(now time.Time, service string, view *ownership.Snapshot) (perSecond float64, each time.Duration) {
	g := p.services[service]
	if g == nil {
		return 0, 0
	}
	slots := 0
	for _, b := range g.backends {
		if b.Leaving || b.ejected(now) {
			continue
		}
		n := b.limit(now, p.allowed(now, b, view), p.cfg.SlowStart)
		slots += n
		perSecond += float64(n) / max(b.latency, time.Microsecond.Seconds())
	}
	if slots == 0 {
		return 0, 0
	}
	return perSecond, time.Duration(float64(slots) / perSecond * float64(time.Second))
}
