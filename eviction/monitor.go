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
	// maxPatience bounds how often the wait before a lift is doubled.
	maxPatience = 5
	// staleAfter is after how many lags without a report nothing is decided.
	staleAfter = 3
)

// Watch follows one host whose latency-critical classes have objectives. It
// is not safe for concurrent use.
type HostMonitor struct {
	options Options
	// level is the smoothed logarithm of the worst latency over its
	// objective.
	level         float64
	lastSeen      time.Time
	violatedSince time.Time
	calmSince     time.Time
	// relief is when a throttle began that is still in force, zero if none.
	relief    time.Time
	lastStep  time.Time
	lastLift  time.Time
	throttled map[string]bool
	// patience is how often the wait before a lift was doubled, since a
	// lift brought the violation back.
	patience int
}

// NewHostMonitor returns a Watch on a host of which nothing is known.
func NewHostMonitor(o Options) *HostMonitor {
	return &HostMonitor{options: o, throttled: map[string]bool{}}
}

// SetOptions replaces the bounds; what was observed stays.
func (w *HostMonitor) SetOptions(o Options) { w.options = o }

// Observe takes in the largest latency over its objective of the classes on
// the host.
func (w *HostMonitor) Observe(now time.Time, ratio float64) {
	log := math.Log(max(ratio, 0.01))
	if w.lastSeen.IsZero() {
		w.level = log
	}
	w.lastSeen = now
	w.level += smoothing * (log - w.level)
	violated := w.level > 0
	calm := w.level < math.Log(calmBelow)
	w.violatedSince = since(w.violatedSince, now, violated)
	w.calmSince = since(w.calmSince, now, calm)
}

// since keeps when a condition began to hold; zero while it does not.
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
func (w *HostMonitor) Idle() bool {
	return w.violatedSince.IsZero() && len(w.throttled) == 0
}

// Violated reports whether the objective has been missed for longer than the
// lag.
func (w *HostMonitor) Violated(now time.Time) bool {
	return !w.violatedSince.IsZero() && now.Sub(w.violatedSince) > w.options.Lag
}

// Step takes at most limit decisions at now about the suspects on the host.
// With mayEvict false no eviction is decided. It decides nothing until the last step's effect can
// have been seen, and nothing without recent reports.
func (w *HostMonitor) Decide(now time.Time, suspects []Candidate, limit int, mayEvict bool) []Decision {
	w.prune(suspects)
	if now.Sub(w.lastSeen) > staleAfter*w.options.Lag {
		return nil
	}
	if !w.lastStep.IsZero() && now.Sub(w.lastStep) < w.options.settle() {
		return nil
	}
	var decisions []Decision
	switch {
	case w.Violated(now):
		decisions = w.relieve(now, suspects, limit, mayEvict)
	case !w.calmSince.IsZero():
		decisions = w.lift(now, suspects)
	}
	if len(decisions) > 0 {
		w.lastStep = now
	}
	return decisions
}

// prune forgets throttles of tasks that are gone.
func (w *HostMonitor) prune(suspects []Candidate) {
	if len(w.throttled) == 0 {
		return
	}
	present := make(map[string]bool, len(suspects))
	for _, s := range suspects {
		present[s.Job] = true
	}
	for job := range w.throttled {
		if !present[job] {
			delete(w.throttled, job)
		}
	}
	if len(w.throttled) == 0 {
		w.relief = time.Time{}
	}
}

// relieve throttles first and evicts what throttling did not relieve.
func (w *HostMonitor) relieve(now time.Time, suspects []Candidate, limit int, mayEvict bool) []Decision {
	w.loseTrust(now)
	if !w.relief.IsZero() && now.Sub(w.relief) >= w.options.EvictAfter && mayEvict {
		if victim, found := chooseVictim(suspects, w.level); found {
			delete(w.throttled, victim.Job)
			w.relief = now
			return []Decision{{Kind: Evict, Job: victim.Job}}
		}
	}
	decisions := chooseThrottles(suspects, w.level, w.options.ThrottlePercent, min(limit, maxThrottles))
	for _, d := range decisions {
		w.throttled[d.Job] = true
	}
	if len(decisions) > 0 && w.relief.IsZero() {
		w.relief = now
	}
	return decisions
}

// loseTrust doubles the wait before the next lift when a violation follows a
// lift.
func (w *HostMonitor) loseTrust(now time.Time) {
	if w.lastLift.IsZero() || now.Sub(w.lastLift) > w.liftAfter()+w.options.EvictAfter {
		return
	}
	w.lastLift = time.Time{}
	w.patience = min(w.patience+1, maxPatience)
}

// liftAfter is how long a host must be calm before a throttle is lifted.
func (w *HostMonitor) liftAfter() time.Duration {
	return w.options.EvictAfter << w.patience
}
