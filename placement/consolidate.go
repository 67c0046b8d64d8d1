package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/task"
)

const (
	// consolidateLags is the least time between two moves of latency-critical
	// runs in a shard, in lags, so that the effect of one is reported before
	// the next.
	consolidateLags = 3
	// consolidateInstances is the least number of instances of a class from
	// which one may be moved, so that the others can carry its load.
	consolidateInstances = 8
	// Latency-critical runs are consolidated on a host up to a share of
	// 1/consolidateShare of its processors.
	consolidateShare = 2
	// Up to 1/consolidateSpread of a class's instances are consolidated on one
	// host, to limit the effect of a host failure.
	consolidateSpread = 4
	// consolidateSources bounds the hosts examined for a run to move.
	consolidateSources = 4
)

// maxConsolidated returns how many instances of a latency-critical job's class
// may be consolidated on one host; 0 if the class isn't consolidated.
func (s *Scheduler) maxConsolidated(spec task.Spec) int {
	if spec.QoS != task.LatencyCritical || s.options.ObjectivesMS[spec.Class] <= 0 {
		return 0
	}
	total := s.spread.runs[spreadKey{class: spec.Class}]
	if s.runs[spec.ID] == nil {
		total++ // the job itself isn't counted yet
	}
	return max(1, total/consolidateSpread)
}

// consolidates reports whether a latency-critical job may be consolidated on a
// host: one that has such runs already, within the limits on the host's share
// and on the class's spread.
func (q *request) consolidates(n *node) bool {
	if q.maxConsolidated == 0 || !n.hasCritical() || q.consolidation(n) > 1 {
		return false
	}
	remaining := q.maxConsolidated
	for _, r := range n.runs {
		if r.spec.Class == q.spec.Class {
			remaining--
		}
	}
	return remaining > 0
}

// consolidation returns the latency-critical share of the host with the job,
// relative to the largest allowed; fuller hosts are preferred.
func (q *request) consolidation(n *node) float64 {
	return ratio(n.criticalMilliCPU+q.size.MilliCPU, n.host.Capacity.MilliCPU/consolidateShare)
}

// consolidate moves one latency-critical run if batch jobs wait because they
// would slow such runs. Fewer hosts with latency-critical runs leave more to
// batch jobs.
func (s *Scheduler) consolidate(p *plan) {
	if len(p.refusals) == 0 || p.remaining() == 0 || p.now.Before(s.nextConsolidation) || s.budget.Available(p.now) == 0 {
		return
	}
	s.nextConsolidation = p.now.Add(consolidateLags * s.options.Colocation.UsageLag.D())
	for _, n := range s.consolidationSources() {
		for _, r := range n.runs {
			if s.mayMove(p.now, r) && s.hasConsolidationHost(r) {
				s.evict(p, r, "gathers latency-critical work")
				return
			}
		}
	}
}

// consolidationSources returns the hosts with the least latency-critical work.
func (s *Scheduler) consolidationSources() []*node {
	var serving []*node
	for _, n := range s.order {
		if n.hasCritical() {
			serving = append(serving, n)
		}
	}
	slices.SortFunc(serving, func(a, b *node) int {
		return cmp.Or(cmp.Compare(a.criticalMilliCPU, b.criticalMilliCPU), cmp.Compare(a.host.Name, b.host.Name))
	})
	return serving[:min(len(serving), consolidateSources)]
}

// mayMove reports whether a run may be moved safely: its class has enough
// other instances, none of them is starting or being evicted, and no event
// needs the class now.
func (s *Scheduler) mayMove(now time.Time, r *run) bool {
	isService := r.spec.QoS == task.LatencyCritical && r.spec.RunMS == 0 && !r.spec.Urgent
	if !isService || s.options.ObjectivesMS[r.spec.Class] <= 0 || s.isProtected(r) {
		return false
	}
	if s.spread.runs[spreadKey{class: r.spec.Class}] < consolidateInstances || s.isUnsettled(now, r.spec.Class) {
		return false
	}
	for i, e := range s.calendar {
		w := s.windows[i]
		near := !now.Before(w.From.Add(-drainLead)) && now.Before(w.Until)
		if near && (len(e.Services) == 0 || slices.Contains(e.Services, r.spec.Class)) {
			return false
		}
	}
	return true
}

// isUnsettled reports whether an instance of a class is pending, being evicted
// or missing its objective.
func (s *Scheduler) isUnsettled(now time.Time, class string) bool {
	for _, g := range s.queue.groups {
		if g.key.class == class {
			return true
		}
	}
	for _, n := range s.order {
		for _, r := range n.runs {
			if r.spec.Class == class && (r.isEvicting(now) || n.monitor != nil && n.monitor.Violated(now)) {
				return true
			}
		}
	}
	return false
}

// hasConsolidationHost reports whether the run fits on a host with at least as
// much latency-critical work as its own, with a tolerated impact or one that
// isn't larger than now.
func (s *Scheduler) hasConsolidationHost(r *run) bool {
	q := request{
		spec: r.spec, size: s.estimator.Size(r.spec), avoid: s.history.avoid(r.spec.ID),
		maxConsolidated: s.maxConsolidated(r.spec),
	}
	least := r.node.criticalMilliCPU
	tolerated := max(toleratedImpact, s.impact(&q, r.node))
	for _, n := range s.order {
		if n == r.node || n.criticalMilliCPU < least || q.filter(n) != Feasible {
			continue
		}
		if q.consolidates(n) && s.impact(&q, n) <= tolerated {
			return true
		}
	}
	return false
}
