package routing

import "time"

// minSuccess is a lower bound of the success rate, so that the score of a failing
// endpoint stays finite.
const minSuccess = 0.05

// backend is an endpoint with its current load and health.
type backend struct {
	Endpoint
	// inUse counts the requests in flight under the endpoint's name, those at an earlier
	// address included: it may be another address of the same machine.
	inUse   int
	writing int
	*life
	removed bool // no longer in the list; kept until its slots are free
}

func newBackend(e Endpoint) *backend { return &backend{Endpoint: e, life: newLife()} }

// list updates the endpoint from the list. At another address another machine may have
// its name, of which nothing is known.
func (b *backend) list(e Endpoint) (moved bool) {
	moved = b.Address != e.Address
	if moved {
		b.life = newLife()
	}
	b.Endpoint = e
	b.removed = false
	return moved
}

// limit returns the maximum number of slots in use at now, given the number that
// the grant allows: fewer during slow start. It ends the slow start once that has
// lasted long enough.
func (b *backend) limit(now time.Time, allowed int, slowStart time.Duration) int {
	if b.slowStartAt.IsZero() || allowed == 0 {
		return allowed
	}
	age := now.Sub(b.slowStartAt)
	if age >= slowStart {
		b.slowStartAt = time.Time{}
		return allowed
	}
	part := int(float64(allowed) * age.Seconds() / slowStart.Seconds())
	return max(1, part)
}

// score estimates the cost of sending a request to b; lower is better.
func (b *backend) score(allowed int, cfg Config) float64 {
	s := b.latency * float64(b.inUse+1) / float64(allowed)
	s /= max(b.success, minSuccess)
	if b.Zone != cfg.Zone {
		s *= cfg.ZonePenalty
	}
	return s
}
