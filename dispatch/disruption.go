package dispatch

import (
	"slices"
	"time"
)

// mayDisrupt reports whether the step's allowance for unavailable tasks permits that one
// more of them is stopped.
func (c *cycle) mayDisrupt(t *task) bool {
	st := t.step
	if st.spec.DisruptionBudget < 0 {
		return true
	}
	unavailable := 0
	for i := range st.tasks {
		if other := &st.tasks[i]; other != t && !other.available(c.now) {
			unavailable++
		}
	}
	return unavailable < st.spec.DisruptionBudget
}

// available reports whether a long-running task serves, as far as is known. A task on a
// worker that doesn't answer or is about to leave counts as unavailable.
func (t *task) available(now time.Time) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool {
		w := r.worker
		return r.phase == running && r.reported && r.percent >= 100 && !w.suspected && w.unresponsiveSince.IsZero() && w.listed && !w.info.Draining &&
			now.Sub(w.paceReportAt) < reportMaxAge
	})
}

// reportMaxAge is the age of a worker's last report from which its tasks count as unavailable.
// Workers are polled at least every two seconds.
const reportMaxAge = 2500 * time.Millisecond

// verified reports whether recent reports confirm that the other tasks of a step with an
// allowance serve, as a worker may have failed since its last report. If not, it requests
// the reports. After verifyTime the move is put off, so that others aren't held up.
func (c *cycle) verified(r *run) bool {
	st, m := r.task.step, &c.s.pace.moves
	if !st.spec.Serving() || st.spec.DisruptionBudget < 0 {
		return true
	}
	recent := true
	for i := range st.tasks {
		if !st.tasks[i].available(c.now) {
			continue // mayDisrupt counts it as unavailable
		}
		for _, other := range st.tasks[i].runs {
			if other != r && c.now.Sub(other.worker.paceReportAt) > verifiedAge {
				other.worker.reportWanted, recent = true, false
			}
		}
	}
	switch {
	case recent:
		m.verifying = nil
	case m.verifying != r || c.now.Sub(m.verifyingSince) > verifyTime+verifyPause:
		m.verifying, m.verifyingSince = r, c.now
	}
	return recent
}

const (
	// verifiedAge is the greatest age of the reports that confirm a move: the age from which
	// early polls are sent, and a round trip.
	verifiedAge = earlyPollAge + 300*time.Millisecond
	// verifyTime is how long a move waits for such reports: a few round trips. It is tried
	// again after verifyPause, or once another move has been tried.
	verifyTime, verifyPause = 300 * time.Millisecond, time.Second
)

// putOff reports whether the reports for the move of a run didn't come in time.
func (m *paceMoves) putOff(now time.Time, r *run) bool {
	waited := now.Sub(m.verifyingSince)
	return m.verifying == r && waited > verifyTime && waited <= verifyTime+verifyPause
}
