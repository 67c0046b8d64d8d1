package routing

import "time"

const (
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.1
	// initialLatency is the assumed latency before the first sample.
	initialLatency = 10 * time.Millisecond
	// minSamples is how many results an endpoint needs before it can be a
	// latency outlier.
	minSamples = 20
	// maxEjectionFactor limits the duration of repeated ejections, in multiples
	// of the first.
	maxEjectionFactor = 10
)

// life is what is known of an endpoint at one address: its latency and failures.
type life struct {
	latency  float64 // seconds, moving average
	success  float64 // share of successes, moving average
	samples  int
	failures int // consecutive

	slowStartAt  time.Time // zero if not in slow start
	ejectedUntil time.Time
	ejections    int
}

func newLife() *life { return &life{latency: initialLatency.Seconds(), success: 1} }

// ejected reports whether the endpoint is ejected at now.
func (l *life) ejected(now time.Time) bool {
	return now.Before(l.ejectedUntil)
}

// observe updates the statistics with a result. A failure counts as at least as
// slow as tail, in seconds, so that an endpoint that fails fast does not look
// fast.
func (l *life) observe(r Result, tail float64) {
	sample := r.Latency.Seconds()
	ok := 1.0
	if r.Failed {
		sample = max(sample, tail)
		ok = 0
		l.failures++
	} else {
		l.failures = 0
	}
	weight := latencyWeight
	if l.samples == 0 {
		weight = 1
	}
	l.latency += weight * (sample - l.latency)
	l.success += latencyWeight * (ok - l.success)
	l.samples++
}

// eject stops traffic to the endpoint. The duration grows with each ejection;
// afterwards the endpoint is in slow start.
func (l *life) eject(now time.Time, cfg Config) {
	l.ejections = min(l.ejections+1, maxEjectionFactor)
	l.ejectedUntil = now.Add(time.Duration(l.ejections) * cfg.EjectFor)
	l.slowStartAt = l.ejectedUntil
	l.failures = 0
	l.samples = 0
	l.latency = initialLatency.Seconds()
	l.success = 1
}
