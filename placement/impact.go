package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/task"
)

const (
	// toleratedHarm is the harm, in the unit of interference.Excess, that a
	// batch job may be expected to do; it doubles with each toleranceDoubles
	// that the job has waited, so that none starves.
	toleratedHarm    = 0.03
	toleranceDoubles = 10 * time.Minute
	maxDoublings     = 2
	// slightHarm is what a job may add to an excess without being blamed.
	slightHarm = 0.002
	// maxTolerance is above any harm.
	maxTolerance = 1e9
	// typicalSelf is how busy a class is taken to be that does not run yet.
	typicalSelf = 0.7
)

// harm is by how much latency-critical classes that the job slows are expected
// to miss their objectives on a node once it is there; for a latency-critical
// job, by how much it would miss its own. It is the whole excess, not what the
// job adds: many small additions are no better than a large one.
func (s *Scheduler) harm(q *request, n *node) float64 {
	return s.harmBy(q, n, s.model.Excess) + n.coolingHarm(s.now, q.spec.Class)
}

// harmBy is harm with a way to foresee a class's excess.
func (s *Scheduler) harmBy(q *request, n *node, excess func(string, interference.Load) float64) float64 {
	if len(s.options.ObjectivesMS) == 0 {
		return 0
	}
	load := s.batchNow(n)
	if q.spec.QoS == task.LatencyCritical {
		return excess(q.spec.Class, interference.Load{OwnUtilization: typicalSelf, Batch: load})
	}
	harm := 0.0
	part := n.part(q.size.MilliCPU)
	for i, r := range n.runs {
		if r.spec.QoS != task.LatencyCritical || n.hasClassBefore(i, r.spec.Class) {
			continue
		}
		l := interference.Load{OwnUtilization: n.self(r.spec.Class), Batch: load}
		without := excess(r.spec.Class, l)
		count := len(load)
		load = load.add(q.spec.Class, part)
		l.Batch = load
		if with := excess(r.spec.Class, l); with-without > slightHarm {
			harm = max(harm, with)
		}
		load = load.take(count, q.spec.Class, part)
	}
	s.loads = load
	return harm
}

// take undoes add; count is the length before.
func (l shares) take(count int, class string, part float64) shares {
	if len(l) > count {
		return l[:count]
	}
	return l.add(class, -part)
}

// hasClassBefore reports whether one of the first i runs is of the class.
func (n *node) hasClassBefore(i int, class string) bool {
	for _, r := range n.runs[:i] {
		if r.spec.QoS == task.LatencyCritical && r.spec.Class == class {
			return true
		}
	}
	return false
}

// tolerance is how much harm the job may be expected to do.
func (s *Scheduler) tolerance(now time.Time, q *request) float64 {
	if q.spec.Urgent || q.due || q.spec.QoS == task.LatencyCritical {
		return maxTolerance
	}
	waited := now.Sub(time.UnixMilli(q.spec.SubmittedUnixMS))
	doublings := min(max(int(waited/toleranceDoubles), 0), maxDoublings)
	return toleratedHarm * float64(int(1)<<doublings)
}
