package eviction

import (
	"math"
	"time"
)

const (
	// calmBelow is the ratio to the objective below which a host is calm;
	// between it and 1 nothing is decided.
	calmBelow = 0.85
	// smoothing is the weight of the newest report.
	smoothing = 0.4
	// maxBackoff bounds how often the wait before an unthrottle is doubled.
	maxBackoff = 5
	// staleAfter is the number of lags without a report after which nothing is
	// decided.
	staleAfter = 3
)

// HostMonitor tracks the latencies of a host that runs latency-critical
// classes with objectives. It is not safe for concurrent use.
type HostMonitor struct {
	options Options
	// level is the smoothed logarithm of the worst ratio of latency to
	// objective.
	level         float64
	lastReport    time.Time
	violatedSince time.Time
	calmSince     time.Time
	// throttledSince is when the first of the current throttles began; zero if
	// there are none.
	throttledSince time.Time
	lastDecision   time.Time
	lastUnthrottle time.Time
	throttled      map[string]bool
	// backoff is how often the wait before an unthrottle has been doubled
	// because a violation followed one.
	backoff int
}

// NewHostMonitor returns a HostMonitor without observations.
func NewHostMonitor(o Options) *HostMonitor {
	return &HostMonitor{options: o, throttled: map[string]bool{}}
}

// SetOptions replaces the options; observations are kept.
func (m *HostMonitor) SetOptions(o Options) { m.options = o }

// Observe records the largest ratio of latency to objective among the classes
// on the host.
func (m *HostMonitor) Observe(now time.Time, ratio float64) {
	log := math.Log(max(ratio, 0.01))
	if m.lastReport.IsZero() {
		m.level = log
	}
	m.lastReport = now
	m.level += smoothing * (log - m.level)
	violated := m.level > 0
	calm := m.level < math.Log(calmBelow)
	m.violatedSince = since(m.violatedSince, now, violated)
	m.calmSince = since(m.calmSince, now, calm)
}

// since returns when a condition began to hold; zero if it doesn't hold.
func since(began, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case began.IsZero():
		return now
	default:
		return began
	}
}

// Idle reports whether there is nothing to decide.
func (m *HostMonitor) Idle() bool {
	return m.violatedSince.IsZero() && len(m.throttled) == 0
}

// Violated reports whether the objective has been missed for longer than the
// lag.
func (m *HostMonitor) Violated(now time.Time) bool {
	return !m.violatedSince.IsZero() && now.Sub(m.violatedSince) > m.options.Lag
}

// Decide returns at most limit decisions about the candidates on the host. It
// decides nothing until the effect of its last decisions is visible, nor on
// outdated reports, and evicts only if mayEvict is set.
func (m *HostMonitor) Decide(now time.Time, candidates []Candidate, limit int, mayEvict bool) []Decision {
	m.prune(candidates)
	if now.Sub(m.lastReport) > staleAfter*m.options.Lag {
		return nil
	}
	if !m.lastDecision.IsZero() && now.Sub(m.lastDecision) < m.options.settleTime() {
		return nil
	}
	var decisions []Decision
	switch {
	case m.Violated(now):
		decisions = m.relieve(now, candidates, limit, mayEvict)
	case !m.calmSince.IsZero():
		decisions = m.unthrottle(now, candidates)
	}
	if len(decisions) > 0 {
		m.lastDecision = now
	}
	return decisions
}

// prune forgets throttled tasks that are no longer on the host.
func (m *HostMonitor) prune(candidates []Candidate) {
	if len(m.throttled) == 0 {
		return
	}
	present := make(map[string]bool, len(candidates))
	for _, c := range candidates {
		present[c.Job] = true
	}
	for job := range m.throttled {
		if !present[job] {
			delete(m.throttled, job)
		}
	}
	if len(m.throttled) == 0 {
		m.throttledSince = time.Time{}
	}
}

// relieve throttles tasks, or evicts one if throttling hasn't helped within
// EvictAfter.
func (m *HostMonitor) relieve(now time.Time, candidates []Candidate, limit int, mayEvict bool) []Decision {
	m.increaseBackoff(now)
	if !m.throttledSince.IsZero() && now.Sub(m.throttledSince) >= m.options.EvictAfter && mayEvict {
		if victim, found := chooseVictim(candidates, m.level); found {
			delete(m.throttled, victim.Job)
			m.throttledSince = now
			return []Decision{{Kind: Evict, Job: victim.Job}}
		}
	}
	decisions := chooseThrottles(candidates, m.level, m.options.ThrottlePercent, min(limit, maxThrottles))
	for _, d := range decisions {
		m.throttled[d.Job] = true
	}
	if len(decisions) > 0 && m.throttledSince.IsZero() {
		m.throttledSince = now
	}
	return decisions
}

// increaseBackoff doubles the wait before the next unthrottle if a violation
// follows an unthrottle.
func (m *HostMonitor) increaseBackoff(now time.Time) {
	if m.lastUnthrottle.IsZero() || now.Sub(m.lastUnthrottle) > m.unthrottleAfter()+m.options.EvictAfter {
		return
	}
	m.lastUnthrottle = time.Time{}
	m.backoff = min(m.backoff+1, maxBackoff)
}

// unthrottleAfter returns how long a host must be calm before a throttle is
// removed.
func (m *HostMonitor) unthrottleAfter() time.Duration {
	return m.options.EvictAfter << m.backoff
}
