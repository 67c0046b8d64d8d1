package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/task"
)

const (
	// exploreLags is the length of a trial, in lags.
	exploreLags = 3
	// exploreHosts is the number of hosts per concurrent trial.
	exploreHosts = 4
)

// explore begins a trial of a pair with an uncertain estimate and returns the
// node of the trial; nil if there is none. A trial places one job on a host where the impact without
// the uncertainty of the estimate is tolerated.
func (s *Scheduler) explore(now time.Time, q *request, candidates []*node) *node {
	limit := max(len(s.order)/exploreHosts, 1)
	for _, n := range candidates {
		if !s.explorer.Allowed(now, n.trial, limit) || !s.uncertain(q, n) {
			continue
		}
		if n.cooldownImpact(now, q.spec.Class) > 0 {
			continue
		}
		if s.impactBy(q, n, s.model.MeanExcess) <= toleratedImpact {
			s.explorer.Begin(now, &n.trial)
			return n
		}
	}
	return nil
}

// uncertain reports whether the effect of the job's class on a class of the
// node is uncertain.
func (s *Scheduler) uncertain(q *request, n *node) bool {
	for _, r := range n.runs {
		if r.spec.QoS == task.LatencyCritical && s.model.Uncertain(r.spec.Class, q.spec.Class) {
			return true
		}
	}
	return false
}
