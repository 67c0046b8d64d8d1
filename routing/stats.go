package routing

import (
	"time"

	"github.com/fireflygate/fireflygate/ownership"
)

// FreeByService returns the free slots by service. Services without endpoints
// are absent.
func (p *Pool) FreeByService(now time.Time, snapshot *ownership.Snapshot) map[string]int {
	free := make(map[string]int, len(p.services))
	for name := range p.services {
		free[name] = p.FreeSlots(now, name, snapshot)
	}
	return free
}

// NoShare is returned in place of a number of free slots if the host may use
// none of the service's endpoints, and so cannot serve it at any load.
const NoShare = -1

// FreeSlots returns the free slots of one service; NoShare if the grants allow
// none of its endpoints.
func (p *Pool) FreeSlots(now time.Time, service string, snapshot *ownership.Snapshot) int {
	g := p.services[service]
	if g == nil {
		return NoShare
	}
	sum, share := 0, false
	for _, b := range g.backends {
		share = share || p.allowed(now, b, snapshot) > 0
		if _, n := p.available(now, b, snapshot); n > 0 {
			sum += n
		}
	}
	if !share {
		return NoShare
	}
	return sum
}

// InUse returns the slots in use of a shard's endpoints, or of all endpoints if
// shard is empty.
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
// per second with all slots in use, and the mean time that one takes. It
// returns 0 if the host has no slots of the service.
func (p *Pool) Rate(now time.Time, service string, snapshot *ownership.Snapshot) (perSecond float64, serviceTime time.Duration) {
	g := p.services[service]
	if g == nil {
		return 0, 0
	}
	slots := 0
	for _, b := range g.backends {
		if p.getsNoRequests(b) || b.ejected(now) {
			continue
		}
		n := b.limit(now, p.allowed(now, b, snapshot), p.cfg.SlowStart)
		slots += n
		perSecond += float64(n) / max(b.latency, time.Microsecond.Seconds())
	}
	if slots == 0 {
		return 0, 0
	}
	return perSecond, time.Duration(float64(slots) / perSecond * float64(time.Second))
}
