package routing

import (
	"slices"
	"time"
)

// tailFactor estimates a service's tail latency as a multiple of its mean.
const tailFactor = 3

// Observe records the result of a request, and reports whether it caused the
// endpoint to be ejected. A request at an earlier address says nothing of the endpoint.
func (p *Pool) Observe(now time.Time, s *Slot, r Result) (ejected bool) {
	b := s.backend
	g := p.services[b.Service]
	if g == nil || s.life != b.life {
		return false
	}
	b.observe(r, tailFactor*g.meanLatency())
	if b.ejected(now) || !p.outlier(b, g) || !p.mayEject(now, g) {
		return false
	}
	b.eject(now, p.cfg)
	return true
}

// outlier reports whether the last EjectAfter requests to b have failed, or b is
// much slower than the other endpoints of g.
func (p *Pool) outlier(b *backend, g *group) bool {
	if b.failures >= p.cfg.EjectAfter {
		return true
	}
	if b.samples < minSamples {
		return false
	}
	median, ok := g.medianOfOthers(b)
	return ok && b.latency > p.cfg.LatencyOutlier*median
}

// mayEject reports whether ejecting one more endpoint of g stays within
// Config.MaxEjected.
func (p *Pool) mayEject(now time.Time, g *group) bool {
	out := 1
	for _, b := range g.backends {
		if b.ejected(now) {
			out++
		}
	}
	return float64(out) <= p.cfg.MaxEjected*float64(len(g.backends))
}

func (g *group) meanLatency() float64 {
	sum, n := 0.0, 0
	for _, b := range g.backends {
		if b.samples > 0 {
			sum += b.latency
			n++
		}
	}
	if n == 0 {
		return initialLatency.Seconds()
	}
	return sum / float64(n)
}

// medianOfOthers returns the median latency of the measured endpoints other
// than b; false if there are fewer than two. Endpoints owned by other hosts are
// never measured here.
func (g *group) medianOfOthers(b *backend) (float64, bool) {
	var others []float64
	for _, o := range g.backends {
		if o != b && o.samples > 0 {
			others = append(others, o.latency)
		}
	}
	if len(others) < 2 {
		return 0, false
	}
	slices.Sort(others)
	return others[(len(others)-1)/2], true
}
