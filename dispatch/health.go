package dispatch

import "time"

const (
	// failureWindow is how long a worker's recent failures count; several times
	// the usual run of a task, so that a worker that fails every task collects
	// several.
	failureWindow = 10 * time.Second
	// failingThreshold is the number of failures without a success in between
	// at which a worker counts as failing. Single failures are usually the
	// task's own; where a few tasks in a hundred fail, two in a row on a healthy
	// worker are one case in a thousand.
	failingThreshold = 2
	// probeAfter is the time since its last failure after which a failing worker
	// counts as healthy again. Its next task shows whether it still fails.
	probeAfter = 5 * time.Second
)

// health counts the recent failures of runs on a worker.
type health struct {
	// failures counts failed runs since the last success.
	failures    int
	lastFailure time.Time
}

func (h *health) recordFailure(now time.Time) {
	if now.Sub(h.lastFailure) > failureWindow {
		h.failures = 0
	}
	h.failures++
	h.lastFailure = now
}

func (h *health) recordSuccess() { h.failures = 0 }

// failing reports whether the worker seems to fail every task that it gets. It
// returns false once the last failure is probeAfter ago.
func (h *health) failing(now time.Time) bool {
	return h.failures >= failingThreshold && now.Sub(h.lastFailure) < probeAfter
}
