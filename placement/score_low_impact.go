package placement

// lowImpactBelow is the effect of a class that uses a whole host below which
// it counts as a low-impact class.
const lowImpactBelow = 0.5

// lowImpactPenalty returns 1 for a low-impact class on a host without
// latency-critical runs, else 0. Such hosts are left to the classes that no
// service should share a host with.
func (s *Scheduler) lowImpactPenalty(q *request, n *node) float64 {
	if len(s.options.ObjectivesMS) == 0 || n.hasCritical() {
		return 0
	}
	if s.model.MaxEffect(q.spec.Class) >= lowImpactBelow {
		return 0
	}
	return 1
}
