package dispatch

import (
	"slices"
	"time"
)

// ObserveCapacity records, after a planning cycle, which classes of queues lack capacity
// and the rate at which their work was completed.
func (s *State) ObserveCapacity(now time.Time) {
	c := s.lastCycle
	s.lastCycle = nil
	if c != nil {
		clear(c.reserved) // what is reserved for a step isn't lacking
	}
	for _, l := range s.backlogs.all {
		if now.Sub(l.cycleAt) > maxCycleGap {
			l.fullSince = time.Time{}
		}
		l.cycleAt = now
		lacks, known := s.lacksCapacity(now, l, c)
		switch {
		case lacks && l.fullSince.IsZero():
			l.fullSince = now
		case !lacks && known:
			l.fullSince = time.Time{}
		}
		l.rate.Observe(now, l.completed, l.full(now))
		l.completed = 0
	}
}

// full reports whether after every planning cycle of the last second a task waited for lack
// of capacity.
func (l *backlog) full(now time.Time) bool {
	return !l.fullSince.IsZero() && l.cycleAt.Sub(l.fullSince) >= fullAfter && now.Sub(l.cycleAt) <= maxCycleGap
}

// lacksCapacity reports whether a task of a class of queues waits for lack of capacity. It
// isn't known if more steps wait than are checked in a cycle; the next cycle checks others.
// c is the planning cycle, nil if there was none.
func (s *State) lacksCapacity(now time.Time, l *backlog, c *cycle) (lacks, known bool) {
	if c == nil {
		return false, false
	}
	if l.blocked != nil && l.blocked.fitsNowhere() && now.Sub(l.causeAt) < backlogInterval {
		return true, true
	}
	last := l.blocked
	l.blocked = nil
	checks := 0
	check := func(st *step) bool {
		if checks >= maxCauseChecks || !st.fitsNowhere() || now.Sub(st.otherCauseAt) < backlogInterval {
			return false
		}
		checks++
		if !c.lacksCapacityFor(st) {
			st.otherCauseAt = now
			return false
		}
		l.blocked, l.causeAt = st, now
		return true
	}
	if last != nil && l.includes(&last.job.queue) && check(last) {
		return true, true
	}
	for _, j := range s.open {
		if checks >= maxCauseChecks {
			return false, false
		}
		if !j.rowStored || j.oversized || !l.includes(&j.queue) {
			continue
		}
		for _, o := range j.occurrences {
			if o.due.After(now) {
				break
			}
			if slices.ContainsFunc(o.steps, check) {
				return true, true
			}
		}
	}
	return false, checks < maxCauseChecks
}

// exceedsWorkers reports whether a step of the job needs more than any worker of its pool
// has. It doesn't while no worker of the pool is known.
func (s *State) exceedsWorkers(j *job) bool {
	known := false
	fits := make([]bool, len(j.spec.Steps))
	for _, w := range s.workers {
		if w.info.Pool != j.queue.Pool {
			continue
		}
		known = true
		for i := range fits {
			st := &j.spec.Steps[i]
			fits[i] = fits[i] || (w.info.HasLabel(st.Label) && st.Needs.Fits(w.info.Capacity))
		}
	}
	return known && slices.Contains(fits, false)
}

// fitsNowhere reports whether a task of the step waits that fitted nowhere when it was last
// tried.
func (s *step) fitsNowhere() bool {
	return s.ready() && !s.blockedSince.IsZero() && !s.job.state.Final()
}

// lackOfCapacity reports whether more capacity would end the wait of any task. A task that
// would interfere with serving tasks isn't counted: those of other images may fit, so that
// later jobs are served before it.
func (c WaitCause) lackOfCapacity() bool {
	switch c {
	case NoProcessors, NoMemory, ReservedCapacity:
		return true
	default:
		return false
	}
}
