package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/pace"
	"github.com/fireflygate/fireflygate/runner"
)

const (
	// minMeasured is the least number of measured tasks of a step from which their median
	// counts as the normal time, and maxMeasured the largest number that is used.
	minMeasured, maxMeasured = 4, 64
	// resumeGrace is how long after its start a resuming run isn't measured, since it first
	// restores its checkpoint, which takes up to 600 ms.
	resumeGrace = time.Second
)

// paceReport evaluates the figures of one report for the speed of its worker. If the speed
// of workers isn't tracked, it accepts all figures and learns nothing.
type paceReport struct {
	s   *State
	now time.Time
	w   *worker
	// oversubscribed is set if the worker's processors are: its runs then give no
	// evidence.
	oversubscribed bool
}

func (s *State) paceReport(now time.Time, w *worker) paceReport {
	p := paceReport{s: s, now: now, w: w}
	if s.pace != nil {
		p.oversubscribed = w.unusedCPU(now) < 0
	}
	return p
}

// valid reports whether the figures of a run are in range.
func (p *paceReport) valid(a *runner.ActiveRun) bool {
	if p.s.pace == nil || (a.Percent >= 0 && a.Percent <= 100 && a.Usage >= 0) {
		return true
	}
	if !p.w.reportsInvalid {
		p.w.reportsInvalid = true
		p.s.recordPaceChange(p.w, PaceInvalidFigures, p.w.pace.Factor(p.now))
	}
	return false
}

// observe measures the speed of a finite run from its reported progress.
func (p *paceReport) observe(r *run) {
	st := r.task.step
	if p.s.pace == nil || st.spec.LongRunning {
		return
	}
	resuming := r.task.checkpoint != "" && p.now.Sub(r.startedAt) < resumeGrace
	if p.oversubscribed || r.phase != running || r.limited() || resuming || !r.comparable() {
		r.progress.Reset()
		return
	}
	normal := p.s.normalTime(p.now, st)
	started := r.startedAt
	if r.sending == nil || len(r.task.endedRuns) > 0 {
		started = time.Time{} // it began earlier, or may have resumed
	}
	r.progress.Continue(r.task.leastPerPercent)
	m, ok := r.progress.Observe(p.now, r.percent, normal/100, started)
	if least := r.progress.Least(); least > 0 && (r.task.leastPerPercent == 0 || least < r.task.leastPerPercent) {
		r.task.leastPerPercent = least
	}
	if !ok {
		return
	}
	r.task.perPercent = float32(m.PerPercent.Seconds() * 1000)
	slowdown, ok := p.s.slowdown(p.now, st, 100*m.PerPercent)
	if !ok {
		return
	}
	p.w.pace.AddRun(p.now, pace.Run{ID: r.paceID(), Slowdown: slowdown, Since: m.Since, Rise: m.Rise})
}

// comparable reports whether the run's speed depends on its worker alone: tasks of gangs
// wait for each other, and those with remote data take 2 to 3 times as long.
func (r *run) comparable() bool {
	spec := r.task.step.spec
	return !spec.Gang && r.worker.info.HasLabel(spec.DataRack)
}

// limited reports whether a CPU limit is in force or may be.
func (r *run) limited() bool { return r.cpuLimit < fullCPU || r.cpuLimitUnconfirmed }

// paceID distinguishes the runs of a worker for package pace.
func (r *run) paceID() uint16 { return uint16(r.number) ^ uint16(r.task.index)<<8 } //nolint:gosec // a hash

// observeEnd derives the speed of a run that is done, and that no report measured, from
// its duration. The run ended between the worker's last two reports. It counts as slow only
// if it would be slow had it ended at the earlier one.
func (s *State) observeEnd(now time.Time, r *run) {
	t, w := r.task, r.worker
	st := t.step
	if s.pace == nil || st.spec.LongRunning || r.sending == nil || len(t.endedRuns) > 0 || t.checkpoint != "" || !r.comparable() {
		return
	}
	if r.limited() || !r.cpuLimitSetAt.IsZero() || r.progress.Measured() || w.unusedCPU(now) < 0 {
		return
	}
	longest := now.Sub(r.startedAt)
	shortest := max(w.paceReportAt.Sub(r.startedAt), 0)
	slowdown, ok := s.slowdown(now, st, longest)
	t.perPercent = float32((longest + shortest).Seconds() / 2 * 10)
	if !ok {
		return
	}
	if slowdown >= pace.RecoveredFactor {
		if slowdown *= float64(shortest) / float64(max(longest, 1)); slowdown < pace.SlowFactor {
			return
		}
	}
	w.pace.AddRun(now, pace.Run{ID: r.paceID(), Slowdown: slowdown, Since: r.startedAt})
}

// slowdown returns how many times as long a task takes as others of its step or, if few
// were measured, of its image. It returns false if that isn't known.
func (s *State) slowdown(now time.Time, st *step, taken time.Duration) (float64, bool) {
	byImage, known := s.pace.baselines.Slowdown(st.spec.Image, taken, st.expected)
	if m := st.medianTime(now); m > 0 {
		return float64(taken) / float64(m), true
	}
	return byImage, known
}

// normalTime returns how long a task of the step takes at normal speed, 0 if that isn't
// known.
func (s *State) normalTime(now time.Time, st *step) time.Duration {
	if m := st.medianTime(now); m > 0 {
		return m
	}
	return st.expected
}

// medianTime returns the median time of the step's tasks at their measured speeds, 0 if
// too few were measured. It is at most judgeInterval old.
func (s *step) medianTime(now time.Time) time.Duration {
	if s.perPercentAt.IsZero() || now.Sub(s.perPercentAt) >= judgeInterval {
		s.perPercentAt = now
		s.perPercent = s.medianPerPercent()
	}
	return time.Duration(float64(s.perPercent) * 100 * float64(time.Millisecond))
}

func (s *step) medianPerPercent() float32 {
	var all [maxMeasured]float32
	n := 0
	for i := range s.tasks {
		if p := s.tasks[i].perPercent; p > 0 && n < maxMeasured {
			all[n] = p
			n++
		}
	}
	if n < minMeasured {
		return 0
	}
	slices.Sort(all[:n])
	return all[(n-1)/2]
}

// remaining returns how long a finite run is expected to take from now at normal speed,
// and with the factor of its worker; 0 if that isn't known.
func (s *State) remaining(now time.Time, r *run) (normal, here time.Duration) {
	left := 100 - min(max(r.percent, 0), 100)
	normal = s.normalTime(now, r.task.step) * time.Duration(left) / 100
	return normal, time.Duration(float64(normal) * r.worker.pace.Factor(now))
}
