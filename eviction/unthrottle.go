package eviction

import (
	"math"
	"time"
)

const (
	// unthrottleBelow is the largest ratio of latency to objective that may be
	// expected after a throttle is removed.
	unthrottleBelow = 0.95
	// forceWaits is the number of waits after which a throttle is removed
	// whatever the estimate, since the estimate may be outdated.
	forceWaits = 4
)

// unthrottle removes the throttle of the task with the least effect, once the
// host has been calm for long enough and is expected to stay so.
func (m *HostMonitor) unthrottle(now time.Time, candidates []Candidate) []Decision {
	calm := now.Sub(m.calmSince)
	if len(m.throttled) == 0 || calm < m.unthrottleAfter() {
		return nil
	}
	least, found := m.leastEffect(candidates)
	if !found {
		return nil
	}
	expected := m.level - least.reduction(fullCPU)
	if expected > math.Log(unthrottleBelow) && calm < forceWaits*m.unthrottleAfter() {
		return nil
	}
	delete(m.throttled, least.Job)
	if len(m.throttled) == 0 {
		m.throttledSince = time.Time{}
	}
	m.lastUnthrottle = now
	return []Decision{{Kind: Unthrottle, Job: least.Job, CPULimit: fullCPU}}
}

// fullCPU is the CPU limit, in percent, of a task that isn't throttled.
const fullCPU = 100

// leastEffect returns the throttled task with the least effect.
func (m *HostMonitor) leastEffect(candidates []Candidate) (Candidate, bool) {
	var least Candidate
	found := false
	for _, c := range candidates {
		if !m.throttled[c.Job] {
			continue
		}
		if !found || c.Effect < least.Effect || (c.Effect == least.Effect && c.Job < least.Job) {
			least, found = c, true
		}
	}
	return least, found
}
