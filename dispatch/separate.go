package dispatch

import "time"

// placeSeparately starts a suspect task on a worker without other suspects, and
// without runs that the worker has not reported yet. If the worker crashes, its crash
// is then blamed on this task alone. If there is no such worker, the task waits for one
// for up to maxSeparateWait.
func (c *cycle) placeSeparately(t *task) (started, waits bool) {
	if w := c.choose(t, c.separateFrom); w != nil {
		t.separateSince = time.Time{}
		c.s.nextRun++
		c.start(t, w, c.s.nextRun)
		return true, false
	}
	if t.separateSince.IsZero() {
		t.separateSince = c.now
	}
	return false, c.now.Sub(t.separateSince) < maxSeparateWait
}

// separateFrom reports whether a worker has neither an unreported run nor one of a
// suspect task that isn't proven.
func (c *cycle) separateFrom(w *worker) bool {
	if w.counts.unreported > 0 {
		return false
	}
	for _, r := range w.runsByNumber {
		if r.separate && c.now.Sub(r.startedAt) < provenAfter {
			return false
		}
	}
	return true
}
