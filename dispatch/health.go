package dispatch

import "time"

const (
	// failureWindow is how long a worker's recent failures count. Several
	// times the mean run of a task, so that one worker that fails all it gets
	// collects several in it.
	failureWindow = 10 * time.Second
	// failuresSuspect is how many failures without a success in between make
	// a worker suspect. Tasks fail by themselves a few times in a hundred:
	// two in a row by chance on a sound worker are one in a thousand.
	failuresSuspect = 2
	// probeAfter is when a suspect worker gets one task again as a probe.
	probeAfter = 5 * time.Second
)

// health is what the ends at a worker say of it.
type health struct {
	// failures counts failed runs since the last one that was done.
	failures int
	lastFail time.Time
}

// failed counts a failed run.
func (h *health) failed(now time.Time) {
	if now.Sub(h.lastFail) > failureWindow {
		h.failures = 0
	}
	h.failures++
	h.lastFail = now
}

// done counts a run that finished its work.
func (h *health) done() { h.failures = 0 }

// suspect reports whether the worker seems to fail whatever it gets.
func (h *health) suspect(now time.Time) bool {
	return h.failures >= failuresSuspect && now.Sub(h.lastFail) < probeAfter
}
