package eviction

import (
	"math"
	"time"
)

const (
	// liftBelow is the ratio to the objective that may be expected after a
	// lift.
	liftBelow = 0.95
	// unbelieved is after how many waits a throttle is lifted though its
	// estimate speaks against it, since the estimate may be out of date.
	unbelieved = 4
)

// lift takes the throttle off the least blamed task, once the host has been
// calm for long enough and is expected to stay so.
func (w *HostMonitor) lift(now time.Time, suspects []Candidate) []Decision {
	calm := now.Sub(w.calmSince)
	if len(w.throttled) == 0 || calm < w.liftAfter() {
		return nil
	}
	least, found := w.leastBlamed(suspects)
	if !found {
		return nil
	}
	expected := w.level - least.removed(fullSpeed)
	if expected > math.Log(liftBelow) && calm < unbelieved*w.liftAfter() {
		return nil
	}
	delete(w.throttled, least.Job)
	if len(w.throttled) == 0 {
		w.relief = time.Time{}
	}
	w.lastLift = now
	return []Decision{{Kind: Unthrottle, Job: least.Job, CPULimit: fullSpeed}}
}

// fullSpeed is the percentage of a task that is not throttled.
const fullSpeed = 100

// leastBlamed returns the throttled task that adds least.
func (w *HostMonitor) leastBlamed(suspects []Candidate) (Candidate, bool) {
	var least Candidate
	found := false
	for _, s := range suspects {
		if !w.throttled[s.Job] {
			continue
		}
		if !found || s.Effect < least.Effect || (s.Effect == least.Effect && s.Job < least.Job) {
			least, found = s, true
		}
	}
	return least, found
}
