package placement

// quietBelow is the slowdown, for a class that fills a host, below which it is
// counted as a quiet neighbour.
const quietBelow = 0.5

// quiet is 1 for a quiet class on a host without latency-critical work, else
// 0: such hosts are kept for the classes that no service should be beside.
func (s *Scheduler) quiet(q *request, n *node) float64 {
	if len(s.options.ObjectivesMS) == 0 || n.hasCritical() {
		return 0
	}
	if s.model.MaxEffect(q.spec.Class) >= quietBelow {
		return 0
	}
	return 1
}
