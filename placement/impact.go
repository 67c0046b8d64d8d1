package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/task"
)

const (
	// toleratedImpact is the impact, in the unit of interference.Model.Excess,
	// that a batch job may have. It doubles for each toleranceDoubling that
	// the job has waited, up to maxDoublings times, to prevent starvation.
	toleratedImpact   = 0.03
	toleranceDoubling = 10 * time.Minute
	maxDoublings      = 2
	// negligibleImpact is the addition to an excess up to which a job's impact
	// counts as 0.
	negligibleImpact = 0.002
	// maxTolerance exceeds any impact.
	maxTolerance = 1e9
	// typicalUtilization is assumed for a class that doesn't run yet.
	typicalUtilization = 0.7
)

// impact returns by how much the latency-critical classes that the job slows
// are expected to miss their objectives on a node with the job; for a
// latency-critical job, by how much it would miss its own. It is the whole
// excess rather than the job's addition, so that many small additions don't
// add up to a large one.
func (s *Scheduler) impact(q *request, n *node) float64 {
	return s.impactBy(q, n, s.model.Excess) + n.cooldownImpact(s.now, q.spec.Class)
}

// impactBy returns the impact by a given estimate of a class's excess, without
// the addition for a cooldown.
func (s *Scheduler) impactBy(q *request, n *node, excess func(string, interference.Load) float64) float64 {
	if len(s.options.ObjectivesMS) == 0 {
		return 0
	}
	load := s.currentBatch(n)
	if q.spec.QoS == task.LatencyCritical {
		return excess(q.spec.Class, interference.Load{OwnUtilization: typicalUtilization, Batch: load})
	}
	impact := 0.0
	cpuShare := n.cpuShare(q.size.MilliCPU)
	for i, r := range n.runs {
		if r.spec.QoS != task.LatencyCritical || n.hasClassBefore(i, r.spec.Class) {
			continue
		}
		conditions := interference.Load{OwnUtilization: n.ownUtilization(r.spec.Class), Batch: load}
		without := excess(r.spec.Class, conditions)
		count := len(load)
		load = load.add(q.spec.Class, cpuShare)
		conditions.Batch = load
		if with := excess(r.spec.Class, conditions); with-without > negligibleImpact {
			impact = max(impact, with)
		}
		load = load.undoAdd(count, q.spec.Class, cpuShare)
	}
	s.loadBuffer = load
	return impact
}

// undoAdd reverts add; count is the length before add.
func (l shares) undoAdd(count int, class string, cpuShare float64) shares {
	if len(l) > count {
		return l[:count]
	}
	return l.add(class, -cpuShare)
}

// hasClassBefore reports whether a latency-critical run among the first i is
// of the class.
func (n *node) hasClassBefore(i int, class string) bool {
	for _, r := range n.runs[:i] {
		if r.spec.QoS == task.LatencyCritical && r.spec.Class == class {
			return true
		}
	}
	return false
}

// tolerance returns the impact that the job may have.
func (s *Scheduler) tolerance(now time.Time, q *request) float64 {
	if q.spec.Urgent || q.dueSoon || q.spec.QoS == task.LatencyCritical {
		return maxTolerance
	}
	waited := now.Sub(time.UnixMilli(q.spec.SubmittedUnixMS))
	doublings := min(max(int(waited/toleranceDoubling), 0), maxDoublings)
	return toleratedImpact * float64(int(1)<<doublings)
}
