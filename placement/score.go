package placement

import (
	"math"

	"github.com/fireflygate/fireflygate/task"
)

// The weights of the scores against each other.
const (
	weightHarm    = 4.0
	weightSpread  = 1.0
	weightPacking = 1.0
	weightQuiet   = 0.5
	weightGather  = 2.0
)

// best returns the candidate with the highest score, the first by name among
// equals, and the harm expected of it.
func (s *Scheduler) best(q *request, candidates []*node) (chosen *node, harm float64) {
	highest := math.Inf(-1)
	for _, n := range candidates {
		expected := s.harm(q, n)
		score := s.score(q, n) - weightHarm*expected
		if score > highest || (score == highest && n.host.Name < chosen.host.Name) {
			chosen, harm, highest = n, expected, score
		}
	}
	return chosen, harm
}

// score weighs all but harm; each part lies between about -1 and 1.
func (s *Scheduler) score(q *request, n *node) float64 {
	if q.spec.QoS == task.LatencyCritical {
		score := weightSpread * s.spread.score(q, n)
		if q.gathers(n) {
			score += weightGather * q.gathered(n)
		}
		return score
	}
	return weightPacking*packing(q, n) - weightQuiet*s.quiet(q, n)
}
