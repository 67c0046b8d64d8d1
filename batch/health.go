package batch

import "time"

// health tracks consecutive failures of distinct jobs on one worker and the
// quarantine that they cause.
type health struct {
	// failed are the jobs that failed since the last success.
	failed map[string]struct{}
	// quarantinedUntil is the end of the quarantine; zero for none.
	quarantinedUntil time.Time
	// probe is the only job that may run after the quarantine until it
	// succeeds.
	probe string
}

// recordFailure records a failed run and reports whether it started a
// quarantine of the given length: because limit distinct jobs have failed since
// the last success, or because the job was the probe.
func (h *health) recordFailure(now time.Time, job string, limit int, length time.Duration) bool {
	if h.failed == nil {
		h.failed = map[string]struct{}{}
	}
	h.failed[job] = struct{}{}
	probed := h.probe == job
	if probed {
		h.probe = ""
	}
	if !probed && (len(h.failed) < limit || !h.quarantinedUntil.IsZero()) {
		return false
	}
	h.quarantinedUntil = now.Add(length)
	return true
}

// recordSuccess records a completed run and reports whether it ended a
// quarantine.
func (h *health) recordSuccess() bool {
	ended := !h.quarantinedUntil.IsZero()
	*h = health{}
	return ended
}

// clearProbe allows another probe if the job was the probe and ended without
// success or failure.
func (h *health) clearProbe(job string) {
	if h.probe == job {
		h.probe = ""
	}
}

// unschedulableReason returns why the worker may not get a job now; empty if it
// may.
func (h *health) unschedulableReason(now time.Time) string {
	switch {
	case h.quarantinedUntil.IsZero():
		return ""
	case now.Before(h.quarantinedUntil):
		return "quarantined"
	case h.probe != "":
		return "probing"
	default:
		return ""
	}
}

// admit reports whether the worker may start the job. After a quarantine it
// admits one job at a time, which becomes the probe, until a run succeeds.
func (h *health) admit(now time.Time, job string) bool {
	if h.unschedulableReason(now) != "" {
		return false
	}
	if !h.quarantinedUntil.IsZero() {
		h.probe = job
	}
	return true
}
