package batch

import "time"

// health counts failures of distinct jobs in a row on one worker and keeps the
// quarantine that follows.
type health struct {
	// failed are the distinct jobs that failed since the last success.
	failed map[string]struct{}
	// until is the end of the quarantine; zero for none.
	until time.Time
	// probe is the one job that runs on trial after the quarantine.
	probe string
}

// failure notes a failed run and reports whether it began a quarantine.
func (h *health) failure(now time.Time, job string, limit int, length time.Duration) bool {
	if h.failed == nil {
		h.failed = map[string]struct{}{}
	}
	h.failed[job] = struct{}{}
	probed := h.probe == job
	if probed {
		h.probe = ""
	}
	if !probed && (len(h.failed) < limit || !h.until.IsZero()) {
		return false
	}
	h.until = now.Add(length)
	return true
}

// success notes a completed run and reports whether it ended a quarantine.
func (h *health) success() bool {
	ended := !h.until.IsZero()
	*h = health{}
	return ended
}

// ended frees the probe's place when its job left without a verdict.
func (h *health) ended(job string) {
	if h.probe == job {
		h.probe = ""
	}
}

// unschedulable says why the worker takes no job now; empty if it does.
func (h *health) unschedulable(now time.Time) string {
	switch {
	case h.until.IsZero():
		return ""
	case now.Before(h.until):
		return "quarantined"
	case h.probe != "":
		return "probing"
	default:
		return ""
	}
}

// admit notes a start and reports whether the worker takes it: past its
// quarantine it takes one job at a time.
func (h *health) admit(now time.Time, job string) bool {
	if h.unschedulable(now) != "" {
		return false
	}
	if !h.until.IsZero() {
		h.probe = job
	}
	return true
}
