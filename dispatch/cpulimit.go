package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/colocate"
	"github.com/fireflygate/fireflygate/runner"
)

const (
	// tailWindow is the period covered by the figures of a report.
	tailWindow = 500 * time.Millisecond
	// maxLowImpactEffect is the slack that a best-effort image with all
	// processors may take from any class and still count as low-impact.
	maxLowImpactEffect = 3.0
	// effectDelay is how long a best-effort task's start, end or change of CPU
	// limit takes to show fully in the tails.
	effectDelay = tailWindow
	// cpuLimitRetry is the time between two CPU limit orders for a run whose
	// first order failed.
	cpuLimitRetry = 300 * time.Millisecond
)

// colocation is a worker as package colocate describes it.
type colocation struct {
	colocate.Worker
	// runs holds the run of each of the BestEffort tasks, in the same order.
	runs []*run
}

// describe replaces the contents by those of a worker, in the same storage.
func (c *colocation) describe(now time.Time, w *worker) {
	c.Serving, c.BestEffort, c.RecentlyEnded, c.runs = c.Serving[:0], c.BestEffort[:0], c.RecentlyEnded[:0], c.runs[:0]
	for _, r := range w.runsByNumber {
		st := r.task.step
		switch {
		case st.class != "" && r.phase == running:
			s := colocate.Serving{Class: st.class, Step: st.id(), Target: st.spec.TailTarget}
			if r.percent >= 100 {
				s.Tail = time.Duration(r.usage) * time.Millisecond
			}
			if !r.overTargetSince.IsZero() {
				s.OverTargetFor = now.Sub(r.overTargetSince)
			}
			c.Serving = append(c.Serving, s)
		case st.spec.BestEffort && r.phase != stopping:
			c.BestEffort = append(c.BestEffort, r.bestEffortTask(now))
			c.runs = append(c.runs, r)
		}
	}
	for i := range w.recentlyEnded {
		if t := &w.recentlyEnded[i]; now.Sub(t.endedAt) < effectDelay {
			c.RecentlyEnded = append(c.RecentlyEnded, t.task)
		}
	}
}

// colocation describes a worker. The result is valid until the next call.
func (s *State) colocation(now time.Time, w *worker) *colocation {
	s.colocated.describe(now, w)
	return &s.colocated
}

// endedTask is a best-effort task that has ended.
type endedTask struct {
	task    colocate.BestEffortTask
	endedAt time.Time
}

// rememberEnded keeps an ended best-effort run until the tails no longer reflect
// it.
func (w *worker) rememberEnded(now time.Time, r *run) {
	w.recentlyEnded = slices.DeleteFunc(w.recentlyEnded, func(t endedTask) bool { return now.Sub(t.endedAt) >= effectDelay })
	w.recentlyEnded = append(w.recentlyEnded, endedTask{task: r.bestEffortTask(now), endedAt: now})
}

// bestEffortTask returns the run as package colocate describes it.
func (r *run) bestEffortTask(now time.Time) colocate.BestEffortTask {
	spec := r.task.step.spec
	limit := r.cpuLimit
	if r.cpuLimitUnconfirmed {
		limit = fullCPU // the lower limit may not be in force
	}
	allowed := max(spec.Needs.MilliCPU*int64(limit)/100, 1)
	return colocate.BestEffortTask{
		Image: spec.Image, CPUShare: float64(spec.Needs.MilliCPU) / float64(max(r.worker.info.Capacity.MilliCPU, 1)),
		Utilization: float64(r.usage) / float64(allowed), CPULimit: limit, Resumable: spec.Checkpointing, ProgressPercent: r.percent, Settled: r.settled(now),
	}
}

// fullCPU is the CPU limit, in percent, of an unrestricted run.
const fullCPU = 100

// settled reports whether the last report covers a full window of the run at
// its current CPU limit.
func (r *run) settled(now time.Time) bool {
	return (r.usage > 0 || r.cpuLimit == 0) && now.Sub(r.startedAt) > effectDelay && now.Sub(r.cpuLimitSetAt) > effectDelay
}

// bestEffortUse returns the processors, in thousandths of a core, that a
// best-effort run uses, or may use once it is settled.
func (r *run) bestEffortUse(now time.Time) int64 {
	if r.settled(now) {
		return r.usage
	}
	return max(r.usage, r.task.step.spec.Needs.MilliCPU)
}

// learnFromTails applies the tails of a report: it records which are over their
// target, requests a decision on CPU limits, and updates the interference model.
// The model skips a report with unchanged figures, which covers the same window
// as the previous one.
func (s *State) learnFromTails(now time.Time, w *worker) {
	sum, serving := int64(0), false
	for _, r := range w.runsByNumber {
		sum += int64(r.number|1) * (r.usage + 1) // independent of the order
		if c := r.task.step.class; c != "" && r.phase == running {
			serving = true
			r.updateOverTarget(now)
		}
	}
	if !serving {
		return
	}
	w.newTails = true
	if sum == w.reportSum {
		return
	}
	w.reportSum = sum
	s.learnTails(now, w, &s.colocation(now, w).Worker)
	s.estimatesChanged = true
}

// updateOverTarget records since when the run's tail has been over its target,
// if it is.
func (r *run) updateOverTarget(now time.Time) {
	tail := time.Duration(r.usage) * time.Millisecond
	switch {
	case r.percent < 100 || tail <= r.task.step.spec.TailTarget:
		r.overTargetSince = time.Time{}
	case r.overTargetSince.IsZero():
		r.overTargetSince = now
	}
}

// adjustCPULimits limits or stops best-effort runs next to serving tasks whose
// tail is too long, and lifts the limits once the tails allow it. It returns the
// CPU limit orders, including failed ones that are repeated. Stops are added to
// those that the next Plan returns.
func (s *State) adjustCPULimits(now time.Time) []CPULimitOrder {
	var orders []CPULimitOrder
	for _, w := range s.byID() {
		if w.suspected || w.counts.bestEffort == 0 {
			continue
		}
		if w.limitUnconfirmed {
			orders = w.retryCPULimits(now, orders)
		}
		if now.Sub(w.lastActionAt) < colocate.ActionCooldown || !w.needsCPULimitDecision() {
			continue
		}
		w.newTails = false
		c := s.colocation(now, w)
		for i, action := range s.model.Actions(now, &c.Worker, s.cfg.TailBound) {
			r := c.runs[i]
			if action.Kind == colocate.NoAction || r.phase != running {
				continue
			}
			w.lastActionAt = now
			if action.Kind == colocate.Migrate && !s.commitOverdue {
				s.Stats.BestEffortMoved++
				s.orderStop(now, r, TailTooLong)
				continue
			}
			r.setCPULimit(action.CPULimit)
			s.markChanged(w)
			orders = append(orders, r.cpuLimitOrder(now))
		}
	}
	return orders
}

// needsCPULimitDecision reports whether the worker has new tails or, without
// serving tasks, a best-effort run that is still limited.
func (w *worker) needsCPULimitDecision() bool {
	if w.counts.serving > 0 {
		return w.newTails
	}
	return w.counts.cpuLimited > 0
}

func (r *run) setCPULimit(percent int) {
	r.worker.counts.drop(r)
	r.cpuLimit = percent
	r.worker.counts.add(r)
}

// retryCPULimits appends the CPU limit orders that failed and are due to be
// repeated to orders, and returns the result.
func (w *worker) retryCPULimits(now time.Time, orders []CPULimitOrder) []CPULimitOrder {
	w.limitUnconfirmed = false
	for _, r := range w.runsByNumber {
		if r.cpuLimitUnconfirmed && r.phase == running && now.Sub(r.cpuLimitSetAt) >= cpuLimitRetry {
			orders = append(orders, r.cpuLimitOrder(now))
		}
		w.limitUnconfirmed = w.limitUnconfirmed || r.cpuLimitUnconfirmed
	}
	return orders
}

// cpuLimitOrder returns the order that sets the run's CPU limit, and records that
// it is sent now.
func (r *run) cpuLimitOrder(now time.Time) CPULimitOrder {
	r.cpuLimitSetAt, r.cpuLimitUnconfirmed = now, false
	return CPULimitOrder{
		Worker: r.worker.info, To: r.worker.addressee(now), Snapshot: r.worker.snapshot(now),
		CPULimit: runner.CPULimit{Task: r.task.id(), Run: r.number, Percent: r.cpuLimit, Token: r.worker.token},
	}
}
