package routing

import (
	"time"
)

const (
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.1
	// initialLatency is the assumed latency before the first sample.
	initialLatency = 10 * time.Millisecond
	// minSuccess is a lower bound of the success rate, so that the score of a
	// failing endpoint stays finite.
	minSuccess = 0.05
	// minSamples is how many results an endpoint needs before it can be a
	// latency outlier.
	minSamples = 20
	// maxEjectionFactor limits the duration of repeated ejections, in multiples
	// of the first.
	maxEjectionFactor = 10
)

// backend is an endpoint with its current load and health.
type backend struct {
	Endpoint
	inUse    int
	writing  int
	latency  float64 // seconds, moving average
	success  float64 // share of successes, moving average
	samples  int
	failures int // consecutive

	slowStartAt  time.Time // zero if not in slow start
	ejectedUntil time.Time
	ejections    int
	removed      bool // no longer in the list; kept until its slots are free
}

func newBackend(e Endpoint) *backend {
	return &backend{Endpoint: e, latency: initialLatency.Seconds(), success: 1}
}

// ejected reports whether the endpoint is ejected at now.
func (b *backend) ejected(now time.Time) bool {
	return now.Before(b.ejectedUntil)
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

// observe updates the statistics with a result. A failure counts as at least as
// slow as tail, in seconds, so that an endpoint that fails fast does not look
// fast.
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

// eject stops traffic to the endpoint. The duration grows with each ejection;
// afterwards the endpoint is in slow start.
func (b *backend) eject(now time.Time, cfg Config) {
	b.ejections = min(b.ejections+1, maxEjectionFactor)
	b.ejectedUntil = now.Add(time.Duration(b.ejections) * cfg.EjectFor)
	b.slowStartAt = b.ejectedUntil
	b.failures = 0
	b.samples = 0
	b.latency = initialLatency.Seconds()
	b.success = 1
}
