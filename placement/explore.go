package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/task"
)

const (
	// exploreLags is how long a trial is given, in lags.
	exploreLags = 3
	// exploreHosts is of how many hosts one may have a trial at a time.
	exploreHosts = 4
)

// explore returns a node on which a pair that is little known may be tried
// out, nil if none. A trial is one job on a host at a time, where the estimate
// without its uncertainty foresees no more than tolerated harm.
func (s *Scheduler) explore(now time.Time, q *request, candidates []*node) *node {
	limit := max(len(s.order)/exploreHosts, 1)
	for _, n := range candidates {
		if !s.explorer.Allowed(now, n.trial, limit) || !s.uncertain(q, n) {
			continue
		}
		if n.coolingHarm(now, q.spec.Class) > 0 {
			continue
		}
		if s.harmBy(q, n, s.model.MeanExcess) <= toleratedHarm {
			s.explorer.Begin(now, &n.trial)
			return n
		}
	}
	return nil
}

// uncertain reports whether the job's class is little known beside a class of
// the node.
func (s *Scheduler) uncertain(q *request, n *node) bool {
	for _, r := range n.runs {
		if r.spec.QoS == task.LatencyCritical && s.model.Uncertain(r.spec.Class, q.spec.Class) {
			return true
		}
	}
	return false
}
