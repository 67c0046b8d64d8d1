package routing

import (
	"time"
)

const (
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.1
	// initialLatency is assumed until the first sample.
	initialLatency = 10 * time.Millisecond
	// minSuccess keeps the score of a failing endpoint finite.
	minSuccess = 0.05
	// minSamples is how many results an endpoint needs before it can be an
	// outlier of latency.
	minSamples = 20
	// maxEjectionFactor bounds how long repeated ejections grow.
	maxEjectionFactor = 10
)

// backend is an endpoint with what is known of its load and health.
type backend struct {
	Endpoint
	inUse    int
	writing  int
	latency  float64 // seconds, moving average
	success  float64 // share of successes, moving average
	samples  int
	failures int // in a row

	rampFrom     time.Time // zero when not in slow start
	ejectedUntil time.Time
	ejections    int
	gone         bool // no longer in the list; kept until its slots are free
}

func newBackend(e Endpoint) *backend {
	return &backend{Endpoint: e, latency: initialLatency.Seconds(), success: 1}
}

// ejected reports whether the endpoint is ejected at now.
func (b *backend) ejected(now time.Time) bool {
	return now.Before(b.ejectedUntil)
}

// limit bounds slots in use by slow start, given the slots allowed by the
// grant.
func (b *backend) limit(now time.Time, allowed int, slowStart time.Duration) int {
	if b.rampFrom.IsZero() || allowed == 0 {
		return allowed
	}
	age := now.Sub(b.rampFrom)
	if age >= slowStart {
		b.rampFrom = time.Time{}
		return allowed
	}
	part := int(float64(allowed) * age.Seconds() / slowStart.Seconds())
	return max(1, part)
}

// score is what a request is expected to cost here; smaller is better.
func (b *backend) score(allowed int, cfg Config) float64 {
	s := b.latency * float64(b.inUse+1) / float64(allowed)
	s /= max(b.success, minSuccess)
	if b.Zone != cfg.Zone {
		s *= cfg.ZonePenalty
	}
	return s
}

// observe takes a result in. A failure counts as at least as slow as tail, so
// that an endpoint that fails fast does not look fast.
func (b *backend) observe(r Result, tail float64) {
	sample := r.Latency.Seconds()
	ok := 1.0
	if r.Failed {
		sample = max(sample, tail)
		ok = 0
		b.failures++
	} else {
		b.failures = 0
	}
	weight := latencyWeight
	if b.samples == 0 {
		weight = 1
	}
	b.latency += weight * (sample - b.latency)
	b.success += latencyWeight * (ok - b.success)
	b.samples++
}

// eject keeps traffic away until a time that grows with each ejection, and
// lets the endpoint start slowly afterwards.
func (b *backend) eject(now time.Time, cfg Config) {
	b.ejections = min(b.ejections+1, maxEjectionFactor)
	b.ejectedUntil = now.Add(time.Duration(b.ejections) * cfg.EjectFor)
	b.rampFrom = b.ejectedUntil
	b.failures = 0
	b.samples = 0
	b.latency = initialLatency.Seconds()
	b.success = 1
}
